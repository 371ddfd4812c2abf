"""Check the member list through joins, losses and store outages."""

import anyio
import pytest
from spanfall_core.membership import all_members
from spanfall_core.placement import HomeCandidate, choose_homes
from spanfall_node.node import Node
from spanfall_standins.faulty_store import RENEWAL, WRITE, FaultyStore
from spanfall_standins.fleet import Fleet, run_fleet
from support import SMALL, quick_options, run_async, wait_until

SERVICES = 300
NODES = 30


def known_ids(node: Node) -> list[str]:
    """Return the ids of the members that a node knows."""
    return sorted(row.node_id for row in all_members(node.members.table))


def agree(fleet: Fleet) -> bool:
    """Tell whether all live nodes know just the live nodes."""
    live = sorted(node.cfg.node_id for node in fleet.live_nodes())
    return all(known_ids(node) == live for node in fleet.live_nodes())


def test_lost_and_restarted_nodes() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            fleet.nodes['north-4'].kill()
            await wait_until(lambda: agree(fleet))
            await fleet.start_node('north-4', 'north')
            await wait_until(lambda: agree(fleet))

    run_async(main)


@pytest.mark.parametrize('store_down', [False, True])
def test_lost_delegate_is_replaced(store_down: bool) -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(), store) as fleet:
            store.down = store_down
            north = [
                node
                for node in fleet.live_nodes()
                if node.cfg.data_centre == 'north'
            ]
            acting = next(node for node in north if node.members.acting)
            other = next(node for node in north if node is not acting)
            acting.kill()
            await wait_until(lambda: other.members.acting)
            own = other.cfg.node_id
            await wait_until(lambda: known_ids(other)[0] == own)

    run_async(main)


def test_lost_data_centre_leaves_the_list() -> None:
    async def main() -> None:
        options = quick_options(lease=2)
        async with run_fleet(SMALL, options) as fleet:
            fleet.nodes['south-2'].kill()
            await wait_until(lambda: agree(fleet))
            await fleet.start_node('south-2', 'south')
            await wait_until(lambda: agree(fleet))

    run_async(main)


def test_records_are_written_on_change_only() -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(lease=2), store) as fleet:
            await wait_until(lambda: agree(fleet))
            await wait_renewals(store)
            before = store.calls[WRITE]
            await wait_renewals(store)
            assert store.calls[WRITE] == before

    run_async(main)


def test_outage_longer_than_lease_moves_nothing() -> None:
    """Records whose lease lapsed in an outage are no lost data centres."""

    async def main() -> None:
        store = FaultyStore()
        options = quick_options(lease=1)
        async with run_fleet(SMALL, options, store) as fleet:
            await wait_until(lambda: agree(fleet))
            least: list[int] = []
            for node in fleet.live_nodes():
                note_sizes(node, least)
            store.down = True
            await anyio.sleep(2)
            store.down = False
            await wait_renewals(store)
            assert agree(fleet)
            assert min(least, default=SMALL.nodes) == SMALL.nodes

    run_async(main)


def note_sizes(node: Node, sizes: list[int]) -> None:
    """Note the size of a node's member list at each change of it."""
    node.members.changed.append(lambda: sizes.append(len(known_ids(node))))


async def wait_renewals(store: FaultyStore) -> None:
    """Wait until each delegate has renewed its lease."""
    target = store.calls[RENEWAL] + 2 * len(SMALL.data_centres)
    await wait_until(lambda: store.calls[RENEWAL] >= target)


def test_isolated_node_is_not_ready() -> None:
    async def main() -> None:
        store = FaultyStore()
        options = quick_options(isolation=1, lease=2)
        async with run_fleet(SMALL, options, store) as fleet:
            alone = fleet.nodes['south-2']
            store.down = True
            for node in fleet.live_nodes():
                if node is not alone:
                    node.context.links.sever('south-2')
                    alone.context.links.sever(node.cfg.node_id)
            await wait_until(lambda: not alone.is_ready())
            assert fleet.nodes['north-1'].is_ready()

    run_async(main)


def test_homes_move_little() -> None:
    """A lost node moves only what it held (rendezvous hashing)."""
    places = [HomeCandidate(f'node-{number}', 'dc') for number in range(NODES)]
    names = [f'service-{number}' for number in range(SERVICES)]
    before = {name: choose_homes(name, places)[0] for name in names}
    left = [place for place in places if place.node_id != 'node-7']
    after = {name: choose_homes(name, left)[0] for name in names}
    moved = [name for name in names if before[name] != after[name]]
    assert moved
    assert all(before[name] == 'node-7' for name in moved)


def test_homes_are_in_different_data_centres() -> None:
    places = [
        HomeCandidate(f'node-{number}', f'dc{number % 3}')
        for number in range(9)
    ]
    homes = choose_homes('service', places)
    assert len({int(home.removeprefix('node-')) % 3 for home in homes}) == 3
