"""Test restores of the store from a backup: older revisions, lost leases."""

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
)
from spanfall_node.gateway.store.store_errors import (
    StoreRestoredError,
)
from spanfall_standins.gateway.dialect import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    PlainWorkspace,
)
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

#: Seconds within which the platform requires a change to be applied.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
#: Seconds after which a live upstream has rewritten its entry.
REWRITE_WAIT_SECONDS = 1.5
#: Seconds after which a revoked key must not work.
REVOKE_SECONDS = 1.0
#: Number of lost writes of others, whose revisions are assigned again.
LOST_WRITES = 200


async def add_gateways_and_restore(world):
    """Start two gateways and restore the store to a state before their last."""
    gateways = [await world.add_gateway() for _ in range(2)]
    backup = world.store.copy()
    world.store.revision += LOST_WRITES
    world.configure(body_bytes=11)
    revision = world.store.revision
    await wait_until(
        lambda: (
            all(row.limits.body_bytes == 11 for row in gateways)
            and any(row.directory.revision >= revision for row in gateways)
        ),
    )
    world.store.restore(backup)
    return gateways


# Guards against ignoring a version because its revision is lower than before.
@in_world
async def test_configuration_change_after_restore(world):
    gateways = await add_gateways_and_restore(world)
    world.configure(body_bytes=12)
    await anyio.sleep(APPLY_SECONDS)
    assert [row.limits.body_bytes for row in gateways] == [12, 12]


# Guards against ignoring a listing because its revision is lower than before.
@in_world
async def test_upstream_leaving_after_restore(world):
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    gateways = await add_gateways_and_restore(world)
    world.configure(body_bytes=12)
    mark_leaving(world, upstreams[0])
    await anyio.sleep(DRAIN_SECONDS)
    before = len(upstreams[0].received_requests)
    for number, state in enumerate(gateways * 4):
        answer = await ask(state, '/any/1', attempt=f'a{number}')
        assert answer.status == 200
    assert len(upstreams[0].received_requests) == before


def mark_leaving(world, upstream):
    """Mark the stored entry of an upstream as leaving."""
    key = f'{UPSTREAM_PREFIX}{upstream.lifetime}'
    entry = msgspec.json.decode(
        world.store.items[key].content,
        type=ListedUpstream,
    )
    leaving = msgspec.json.encode(replace(entry, leaving=True))
    world.store.put(key, leaving.decode())


def serving(state):
    """Return the lifetimes of the upstreams that a node sends to."""
    return {row.lifetime for row in state.directory.serving(SERVICE)}


# Guards against a restore that reverts what an upstream has written.
@in_world
async def test_upstream_that_left_before_restore(world):
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    gateways = [await world.add_gateway() for _ in range(2)]
    backup = world.store.copy()
    mark_leaving(world, upstreams[0])
    left = {upstreams[1].lifetime}
    await wait_until(lambda: all(serving(row) == left for row in gateways))
    world.store.restore(backup)
    world.store.put('any', 'write')
    await anyio.sleep(DRAIN_SECONDS)
    assert [serving(row) for row in gateways] == [left, left]


# Guards against dropping upstreams because the backup predates their entries,
# even though no call to the store has failed.
@in_world
async def test_upstream_missing_from_restored_backup(world):
    await world.add_upstream(complete_response())
    backup = world.store.copy()
    newer = await world.add_upstream(complete_response())
    gateways = [await world.add_gateway() for _ in range(2)]
    key = f'{UPSTREAM_PREFIX}{newer.lifetime}'
    entry = world.store.items[key].content
    world.store.restore(backup)
    await anyio.sleep(REWRITE_WAIT_SECONDS)
    world.store.put(key, entry)
    await anyio.sleep(DRAIN_SECONDS)
    assert all(newer.lifetime in serving(row) for row in gateways)


# Guards against a revoked key that works again: the backup lacks the version
# that revoked it, which no node had read before the outage of the store.
@in_world
async def test_key_revoked_before_restore(world):
    workspace = PlainWorkspace('w', ['k'])
    world.configure(workspaces=[workspace])
    await world.add_upstream(complete_response())
    state = await world.add_gateway(revoke_seconds=REVOKE_SECONDS)
    backup = world.store.copy()
    world.store.error_status = 503
    version = world.configure(workspaces=[replace_keys(workspace)])
    lost = world.store.items[CONFIGURATION_KEY].content
    await wait_until(lambda: not serves_keys(state))
    world.store.restore(backup)
    world.store.error_status = 0
    answers = [await ask_with_key(state, number) for number in range(15)]
    assert {answer.status for answer in answers} == {503}
    world.store.put(CONFIGURATION_KEY, lost)
    await wait_until(lambda: state.version == version and serves_keys(state))
    assert (await ask_with_key(state, 99)).status == 401


# Guards against a node that refuses keys forever although nothing was lost.
@in_world
async def test_keys_served_again_after_lossless_restore(world):
    state = await world.add_gateway(revoke_seconds=REVOKE_SECONDS)
    world.store.error_status = 503
    await wait_until(lambda: not serves_keys(state))
    world.store.restore(world.store.copy())
    world.store.error_status = 0
    restored_at = state.timers.now()
    await wait_until(lambda: serves_keys(state))
    waited = state.timers.now() - restored_at
    assert waited > REWRITE_SECONDS - 0.1


def serves_keys(state):
    """Return whether a node may serve requests with keys."""
    return state.freshness.may_serve_keys(state.timers.now())


def replace_keys(workspace):
    """Return the workspace with another key."""
    return PlainWorkspace(workspace.name, ['other'])


async def ask_with_key(state, number):
    """Wait a tenth of a second, then send a request with the key."""
    await anyio.sleep(0.1)
    path = f'/keyed/{number}'
    return await ask(state, path, attempt=f'k{number}', authorization='Key k')


@asynccontextmanager
async def store_client(world):
    """Provide a store client that is independent of a gateway."""
    state = await world.add_unready_gateway()
    async with anyio.create_task_group() as tasks:
        yield StoreClient(state, ConnectionPool(tasks))
        tasks.cancel_scope.cancel()


# Guards against accepting an old response that arrives after a newer one.
@in_world
async def test_late_answer_from_older_timeline(world):
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


# Guards against a listing with pages from before and after a restore.
@in_world
async def test_restore_between_two_pages(world):
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
