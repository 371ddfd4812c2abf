"""Test usage reports after the store has lost its record of them."""

from collections import defaultdict

import anyio
from gateway_world import ask, in_world
from spanfall_node.gateway.duties.duties import (
    USAGE_KEY,
    CloudClient,
    UsageRecord,
    UsageReporter,
)
from spanfall_standins.gateway.dialect import PlainWorkspace
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until
from test_gateway_store_restore import store_client
from test_gateway_succession import ending_gateway, is_home

WINDOW = 1.0
LEASE = 0.5
BOUNDS = {'usage_window_seconds': WINDOW, 'duty_lease_seconds': LEASE}
#: Number of reports before the store is restored, and seconds for which the
#: home after that keeps reporting.
REPORTS_BEFORE_RESTORE = 3
RUN_SECONDS = 8


async def send_requests(state):
    """Send requests to an entry until cancelled."""
    number = 0
    while True:
        number += 1
        name = f'{state.cfg.node}/{number}'
        await ask(state, '/keyed/1', attempt=name, authorization='Key k')
        await anyio.sleep(0.05)


def counts_by_window(world):
    """Return the counts that were reported, by window."""
    reports = defaultdict(list)
    for call in world.cloud_calls:
        if call['counts'] not in reports[call['window']]:
            reports[call['window']].append(call['counts'])
    return reports


async def add_workspace_and_upstream(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    await world.add_upstream(complete_response())


# Guards against reporting a window again with other counts, because the record
# of its first report was lost.
@in_world
async def test_new_home_after_restore(world):
    await add_workspace_and_upstream(world)
    async with ending_gateway(world, **BOUNDS) as (first, life):
        await wait_until(lambda: is_home(first))
        copy = world.store.copy()
        other = await world.add_gateway(**BOUNDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_requests, first)
            tasks.start_soon(send_requests, other)
            await wait_until(
                lambda: len(world.cloud_calls) >= REPORTS_BEFORE_RESTORE
            )
            tasks.cancel_scope.cancel()
        life.cancel()
    world.store.restore(copy)
    reported = len(world.cloud_calls)
    await wait_until(lambda: is_home(other))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests, other)
        await anyio.sleep(RUN_SECONDS)
        tasks.cancel_scope.cancel()
    assert len(world.cloud_calls) > reported
    reports = counts_by_window(world)
    assert all(len(counts) == 1 for counts in reports.values())


# Guards against omitting windows although the home still has the list of its
# reports.
@in_world
async def test_same_home_after_restore(world):
    await add_workspace_and_upstream(world)
    home = await world.add_gateway(**BOUNDS)
    await wait_until(lambda: is_home(home))
    copy = world.store.copy()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_requests, home)
        await wait_until(
            lambda: len(world.cloud_calls) >= REPORTS_BEFORE_RESTORE
        )
        world.store.restore(copy)
        await anyio.sleep(RUN_SECONDS)
        tasks.cancel_scope.cancel()
    reports = counts_by_window(world)
    assert USAGE_KEY in world.store.items
    assert all(len(counts) == 1 for counts in reports.values())
    assert sorted(reports) == list(range(min(reports), max(reports) + 1))


# Guards against the first home of a fleet that assumes after a restore that it
# has reported nothing yet.
@in_world
async def test_first_home_skips_reported_windows(world):
    home = await world.add_gateway(**BOUNDS)
    await wait_until(lambda: is_home(home))
    async with store_client(world) as store:
        duty = UsageReporter(home, store, CloudClient(home, None))
        first = home.tenure
        assert first.is_first
        await duty._take_over(first)
        store.timeline_since = first.renewed_at + 2 * LEASE
        _, window = duty._restored(UsageRecord({}), first)
        assert window == duty._due_window() + 1
