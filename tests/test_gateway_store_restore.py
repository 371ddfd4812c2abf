"""The store comes back from a copy: revisions go back, leases are gone."""

from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import msgspec
import pytest
from gateway_world import SERVICE, ask, in_world
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.timelines import REWRITE_SECONDS
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.store.store_client import (
    StoreClient,
    StoreRestoredError,
)
from spanfall_standins.gateway.dialect import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    PlainWorkspace,
)
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

#: Seconds within which a change is to be in force, as the platform asks.
APPLIED = 2.0
DRAINED = 2.0
#: Seconds after which an upstream that lives has written its entry again.
WRITTEN_AGAIN = 1.5
#: Seconds after which a key that was taken away may not work.
REVOKED = 1.0
#: Writes of others that are lost: their revisions are given out again.
LOST_WRITES = 200


async def restored_gateways(world):
    """Start two gateways; let them follow the store past a copy of it."""
    gateways = [await world.add_gateway() for _ in range(2)]
    copy = world.store.copy()
    world.store.revision += LOST_WRITES
    world.configure(body_bytes=11)
    revision = world.store.revision
    await wait_until(
        lambda: (
            all(row.limits.body_bytes == 11 for row in gateways)
            and any(row.directory.revision >= revision for row in gateways)
        ),
    )
    world.store.restore(copy)
    return gateways


# Guards against a version left out since its revision is a lower one.
@in_world
async def test_a_change_after_a_restore_is_in_force(world):
    gateways = await restored_gateways(world)
    world.configure(body_bytes=12)
    await anyio.sleep(APPLIED)
    assert [row.limits.body_bytes for row in gateways] == [12, 12]


# Guards against a listing left out since its revision is a lower one.
@in_world
async def test_one_that_leaves_after_a_restore(world):
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    gateways = await restored_gateways(world)
    world.configure(body_bytes=12)
    let_leave(world, upstreams[0])
    await anyio.sleep(DRAINED)
    before = len(upstreams[0].received_requests)
    for number, state in enumerate(gateways * 4):
        answer = await ask(state, '/any/1', attempt=f'a{number}')
        assert answer.status == 200
    assert len(upstreams[0].received_requests) == before


def let_leave(world, upstream):
    """Let an upstream write that it leaves."""
    key = f'{UPSTREAM_PREFIX}{upstream.lifetime}'
    entry = msgspec.json.decode(
        world.store.items[key].content,
        type=ListedUpstream,
    )
    leaving = msgspec.json.encode(replace(entry, leaving=True))
    world.store.put(key, leaving.decode())


def serving(state):
    """Return the upstreams that a node sends to."""
    return {row.lifetime for row in state.directory.serving(SERVICE)}


# Guards against a copy that takes back what an upstream has written.
@in_world
async def test_one_that_left_before_a_restore(world):
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    gateways = [await world.add_gateway() for _ in range(2)]
    copy = world.store.copy()
    let_leave(world, upstreams[0])
    left = {upstreams[1].lifetime}
    await wait_until(lambda: all(serving(row) == left for row in gateways))
    world.store.restore(copy)
    world.store.put('any', 'write')
    await anyio.sleep(DRAINED)
    assert [serving(row) for row in gateways] == [left, left]


# Guards against upstreams that are given up since a copy does not name them
# yet, though no call to the store has failed.
@in_world
async def test_one_that_a_copy_does_not_name(world):
    await world.add_upstream(complete_response())
    copy = world.store.copy()
    newer = await world.add_upstream(complete_response())
    gateways = [await world.add_gateway() for _ in range(2)]
    key = f'{UPSTREAM_PREFIX}{newer.lifetime}'
    entry = world.store.items[key].content
    world.store.restore(copy)
    await anyio.sleep(WRITTEN_AGAIN)
    world.store.put(key, entry)
    await anyio.sleep(DRAINED)
    assert all(newer.lifetime in serving(row) for row in gateways)


# Guards against a key that works again: the copy lacks the version that took
# it away, which no node had read before the store went away.
@in_world
async def test_a_key_taken_away_before_a_restore(world):
    workspace = PlainWorkspace('w', ['k'])
    world.configure(workspaces=[workspace])
    await world.add_upstream(complete_response())
    state = await world.add_gateway(revoke_seconds=REVOKED)
    copy = world.store.copy()
    world.store.error_status = 503
    version = world.configure(workspaces=[replace_keys(workspace)])
    lost = world.store.items[CONFIGURATION_KEY].content
    await wait_until(lambda: not serves_keys(state))
    world.store.restore(copy)
    world.store.error_status = 0
    answers = [await ask_with_key(state, number) for number in range(15)]
    assert {answer.status for answer in answers} == {503}
    world.store.put(CONFIGURATION_KEY, lost)
    await wait_until(lambda: state.version == version and serves_keys(state))
    assert (await ask_with_key(state, 99)).status == 401


# Guards against a node that refuses for good where nothing was lost.
@in_world
async def test_no_change_before_a_restore(world):
    state = await world.add_gateway(revoke_seconds=REVOKED)
    world.store.error_status = 503
    await wait_until(lambda: not serves_keys(state))
    world.store.restore(world.store.copy())
    world.store.error_status = 0
    restored_at = state.timers.now()
    await wait_until(lambda: serves_keys(state))
    waited = state.timers.now() - restored_at
    assert waited > REWRITE_SECONDS - 0.1


def serves_keys(state):
    """Tell whether a node may serve requests with keys."""
    return state.freshness.may_serve_keys(state.timers.now())


def replace_keys(workspace):
    """Return a workspace with another key instead."""
    return PlainWorkspace(workspace.name, ['other'])


async def ask_with_key(state, number):
    """Send a request with the key, a tenth of a second after the last one."""
    await anyio.sleep(0.1)
    path = f'/keyed/{number}'
    return await ask(state, path, attempt=f'k{number}', authorization='Key k')


@asynccontextmanager
async def store_client(world):
    """Give a client of the store, without a gateway around it."""
    state = await world.add_unready_gateway()
    async with anyio.create_task_group() as tasks:
        yield StoreClient(state, ConnectionPool(tasks))
        tasks.cancel_scope.cancel()


# Guards against an old answer that arrives late, after a newer one.
@in_world
async def test_answers_from_before_a_restore(world):
    world.store.timeline = 2
    async with store_client(world) as store:
        later = (await store.list_items('x')).revision
        world.store.timeline = 1
        world.store.revision += LOST_WRITES
        with pytest.raises(StoreRestoredError):
            await store.list_items('x')
        assert store.timeline == 2
        world.store.timeline = 3
        world.store.revision = 0
        assert (await store.list_items('x')).revision > later


# Guards against a list whose pages are from before and after a restore.
@in_world
async def test_a_restore_between_two_pages(world):
    await world.add_upstream(complete_response())
    async with store_client(world) as store:
        await store.list_items('x')
        read_page = store._page

        async def page_and_restore(prefix, after):
            page = await read_page(prefix, after)
            world.store.restore(world.store.copy())
            return replace(page, has_more=not after)

        store._page = page_and_restore
        with pytest.raises(StoreRestoredError):
            await store.list_items(UPSTREAM_PREFIX)
