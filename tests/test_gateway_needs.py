"""Share the need for upstreams with all entries, and store it."""

from gateway_world import in_world
from spanfall_node.gateway.store.needs_record import NEEDS_KEY
from support import wait_until
from test_gateway_home import two_gateways


@in_world
async def test_entries_receive_the_needs_of_the_fleet(world):
    """Any entry may become the next home."""
    home, other = await two_gateways(world)
    home.needs = {'llm': 12.5}
    await wait_until(lambda: other.needs == {'llm': 12.5})


@in_world
async def test_needs_survive_restart_of_all_nodes(world):
    """The home after a restart of all nodes restores the stored need."""
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
async def test_invalid_needs_record_is_ignored(world):
    world.store.put(NEEDS_KEY, '[7]')
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    assert not home.needs
