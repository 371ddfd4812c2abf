"""Share the need for upstreams with all entries, and store it."""

import msgspec
import pytest
from gateway_world import in_world
from spanfall_core.gateway.orders.reclaims import SeenReclaims
from spanfall_node.gateway.store.needs_record import NEEDS_KEY, NeedsContent
from support import wait_until
from test_gateway_home import two_gateways

RECLAIMS = {'llm': SeenReclaims(60, {'south': 5})}


@in_world
async def test_entries_receive_the_needs_of_the_fleet(world):
    """Any entry may become the next home."""
    home, other = await two_gateways(world)
    home.reclaims = RECLAIMS
    home.needs = {'llm': 12.5}
    await wait_until(lambda: other.needs == {'llm': 12.5})
    assert other.reclaims == RECLAIMS


@in_world
async def test_needs_survive_restart_of_all_nodes(world):
    """The home after a restart of all nodes restores the stored need."""
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    home.reclaims = RECLAIMS
    home.needs = {'llm': 12.5}
    await wait_until(lambda: NEEDS_KEY in world.store.items)
    for lease in list(world.store.leases):
        world.store.end_lease(lease)
    home.draining_since = home.timers.now()
    other = await world.add_gateway()
    await wait_until(lambda: other.tenure is not None)
    assert other.needs == {'llm': 12.5}
    assert other.reclaims == RECLAIMS


@in_world
async def test_invalid_needs_record_is_ignored(world):
    world.store.put(NEEDS_KEY, '[7]')
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    assert not home.needs


class EarlierContent(msgspec.Struct):
    """Hold what records held before reclaims were among them."""

    needs: dict[str, float]


@pytest.mark.parametrize(
    ('written', 'read'),
    [
        (NeedsContent({'llm': 12.5}, RECLAIMS), EarlierContent),
        (EarlierContent({'llm': 12.5}), NeedsContent),
    ],
)
def test_versions_read_the_records_of_each_other(written, read):
    record = msgspec.json.encode(written)
    assert msgspec.json.decode(record, type=read).needs == written.needs
