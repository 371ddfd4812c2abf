"""What the fleet needs is known to all, and outlives all processes."""

from gateway_world import in_world
from spanfall_node.gateway.store.needs_record import NEEDS_KEY
from support import wait_until
from test_gateway_home import two_gateways


@in_world
async def test_entries_know_what_the_fleet_needs(world):
    """Any of them may be the next home."""
    home, other = await two_gateways(world)
    home.needs = {'llm': 12.5}
    await wait_until(lambda: other.needs == {'llm': 12.5})


@in_world
async def test_the_need_outlives_all_processes(world):
    """The home that follows a restart of all goes on with it."""
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    home.needs = {'llm': 12.5}
    await wait_until(lambda: NEEDS_KEY in world.store.items)
    for lease in list(world.store.leases):
        world.store.end_lease(lease)
    home.draining_since = home.timers.now()
    other = await world.add_gateway()
    await wait_until(lambda: other.tenure is not None)
    assert other.needs == {'llm': 12.5}


@in_world
async def test_a_record_of_needs_that_is_none(world):
    world.store.put(NEEDS_KEY, '[7]')
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    assert not home.needs
