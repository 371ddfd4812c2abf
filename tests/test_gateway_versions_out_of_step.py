"""Test takes-up of streams at a node that lacks the newest listing.

That one version is listed proves nothing of a version that has joined since.
"""

import anyio
import pytest
from gateway_world import in_world
from spanfall_node.gateway.home.home_links import HomeLinks
from spanfall_node.gateway.store.store_client import StoreClient
from support import wait_until
from test_gateway_stored_streams import is_version_proved
from versions_world import (
    NEW,
    OLD,
    REST,
    Fleet,
    add_upstreams,
    all_listed,
    ids_of,
    take_up,
    versions_of,
)

#: Seconds of a slow read of the store.
SLOW_SECONDS = 0.15


async def start_fleet(world, size):
    """Start gateways that know the whole history of one version."""
    await add_upstreams(world, OLD, count=2)
    fleet = Fleet(world)
    await fleet.start(size)
    await all_listed(world, *fleet.states())
    await wait_until(lambda: all(map(is_version_proved, fleet.states())))
    return fleet


async def wait_for_listing(state, age):
    """Wait until the node's listing has just been read, and some time more."""
    known_at = state.directory.confirmed_at
    await wait_until(lambda: state.directory.confirmed_at > known_at)
    await anyio.sleep(age)


def keep_silent(monkeypatch):
    """Let the home answer nothing more, with its links open."""
    monkeypatch.setattr(HomeLinks, '_answer', lambda *_: None)


# Guards against one text of two versions: the stream began elsewhere at a
# version that has joined since this node's listing was read. Before that it
# goes on, as the proof can be had.
@pytest.mark.parametrize(
    ('size', 'age', 'is_silent'),
    [(1, 0, False), (1, 0.3, False), (2, 0, False), (2, 0.3, True)],
)
def test_take_up_by_a_new_listing_only(size, age, is_silent, monkeypatch):
    @in_world
    async def play(world):
        fleet = await start_fleet(world, size)
        state = [*fleet.entries(), fleet.home()][0]
        await wait_for_listing(state, age)
        if is_silent:
            keep_silent(monkeypatch)
        for number in range(3):
            answer = await take_up(state, 'elsewhere', 1, attempt=f'a{number}')
            assert answer.status == 200
            assert versions_of(answer.body) == [OLD]
            assert ids_of(answer.body) == REST
        await wait_for_listing(state, age)
        await add_upstreams(world, NEW)
        answer = await take_up(state, 'elsewhere', 1, attempt='second')
        assert answer.status == 503

    play()


# Guards against refusals, and a listing read by each entry, where the home takes
# longer for one than an entry waits for an answer.
def test_take_up_while_the_home_reads(monkeypatch):
    @in_world
    async def play(world):
        fleet = await start_fleet(world, 2)
        real = StoreClient.list_items
        readers = set()

        async def list_slowly(store, prefix):
            readers.add(store._state.cfg.node)
            listing = await real(store, prefix)
            await anyio.sleep(SLOW_SECONDS)
            return listing

        monkeypatch.setattr(StoreClient, 'list_items', list_slowly)
        answer = await take_up(fleet.entries()[0], 'elsewhere', 1)
        assert answer.status == 200
        assert readers == {fleet.home().cfg.node}

    play()


# Guards against a listing that is read for each of many callers.
def test_many_takes_up_share_reads():
    @in_world
    async def play(world):
        fleet = await start_fleet(world, 1)
        state = fleet.home()
        listings = world.store.listings
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(take_up, state, f'a{number}', 1)
        seconds = anyio.current_time() - began_at
        assert world.store.listings - listings <= 3 + seconds * 25

    play()


# Guards against a call to the store for a stream whose beginning is known to
# the node, and against one without an end while the store is away.
@in_world
async def test_no_take_up_while_the_store_is_away(world):
    fleet = await start_fleet(world, 1)
    world.store.error_status = 503
    calls = len(world.store.calls)
    began_at = anyio.current_time()
    answer = await take_up(fleet.home(), 'elsewhere', 1, attempt='second')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert anyio.current_time() - began_at < 2
    assert len(world.store.calls) - calls < 40
