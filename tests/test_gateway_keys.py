"""Workspace keys are checked, and their usage is reported."""

from gateway_world import ask, in_world
from spanfall_standins.gateway.dialect import (
    PlainWorkspace,
)
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until


@in_world
async def test_keys_are_refused_while_store_unreachable(world):
    """A revoked key must not work for longer than the revocation bound."""
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    await world.add_upstream(complete_response())
    state = await world.add_gateway(revoke_seconds=0.5)
    before = await ask(state, '/keyed/7', authorization='Key k')
    world.store.error_status = 503
    now = state.timers.now
    await wait_until(lambda: not state.freshness.may_serve_keys(now()))
    after = await ask(state, '/keyed/7', authorization='Key k')
    open_route = await ask(state, '/once/7')
    statuses = (before.status, after.status, open_route.status)
    assert statuses == (200, 503, 200)
    assert not state.is_ready(now())


@in_world
async def test_keys_work_where_revocation_is_unbounded(world):
    """Callers are served while the store is unreachable beyond the bound."""
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    await world.add_upstream(complete_response())
    state = await world.add_gateway(
        revoke_seconds=0.5,
        revocation_binds=False,
    )
    world.store.error_status = 503
    now = state.timers.now
    await wait_until(lambda: not state.is_ready(now()))
    await wait_until(lambda: state.freshness.age(now()) > 0.5)
    answer = await ask(state, '/keyed/7', authorization='Key k')
    unknown = await ask(state, '/keyed/7', authorization='Key other')
    assert (answer.status, unknown.status) == (200, 401)


@in_world
async def test_keys_are_checked_and_not_forwarded(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    unknown = await ask(state, '/keyed/7', authorization='Key other')
    known = await ask(state, '/keyed/7', authorization='Key k', workspace='x')
    seen = upstream.received_requests[0].headers
    assert (unknown.status, known.status) == (401, 200)
    assert (seen['workspace'], 'authorization' in seen) == ('w', False)


# Guards against a key that an upstream is shown, and against a request of a
# workspace that is taken for nobody's, on a route that needs no key.
@in_world
async def test_keys_on_a_route_without_keys(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    answers = [
        await ask(state, '/once/7', attempt=key, authorization=key)
        for key in ('Key k', 'Key other', 'Bearer b')
    ]
    assert [answer.status for answer in answers] == [200, 200, 200]
    seen = {one.headers['attempt']: one for one in upstream.received_requests}
    shown = {
        key: (
            one.headers.get('workspace'),
            one.headers.get('authorization'),
        )
        for key, one in seen.items()
    }
    assert shown == {
        'Key k': ('w', None),
        'Key other': (None, None),
        'Bearer b': (None, 'Bearer b'),
    }


@in_world
async def test_usage_is_reported_once_by_window(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'])])
    await world.add_upstream(complete_response())
    state = await world.add_gateway(usage_window_seconds=0.5)
    for turn in range(3):
        await ask(state, '/keyed/7', attempt=f'a{turn}', authorization='Key k')
    await wait_until(lambda: len(world.cloud_calls) > 1)
    windows = [call['window'] for call in world.cloud_calls]
    counted = sum(call['counts'].get('w', 0) for call in world.cloud_calls)
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert counted == 3
    assert {call['token'] for call in world.cloud_calls} == {
        state.tenure.epoch,
    }
