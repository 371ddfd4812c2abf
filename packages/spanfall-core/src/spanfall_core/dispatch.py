"""Dispatch queued requests to upstreams, fairly between workspaces.

The scheduler uses start-time fair queueing (``fair_queueing.py``): the
workspace with the lowest virtual time is served next.
"""

from heapq import heappop

from spanfall_core.admission import record_dequeued
from spanfall_core.effects import Dispatch, Effect, Refuse, Right
from spanfall_core.fair_queueing import charge_work
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.routing import (
    Chooser,
    choose_by_score,
    free_upstreams,
    record_prefix,
)
from spanfall_core.tables import (
    Pool,
    Request,
    RequestState,
    Upstream,
    Workspace,
)
from spanfall_core.upstreams import record_success


def run_tick(
    pool: Pool,
    now: float,
    choose: Chooser = choose_by_score,
) -> list[Effect]:
    """Refuse overdue requests, then dispatch while there are free slots."""
    effects: list[Effect] = list(refuse_expired(pool, now))
    while pool.queued:
        workspace = next_workspace(pool)
        if workspace is None:
            break
        effect = dispatch_next(pool, workspace, now, choose)
        if effect is None:
            break
        effects.append(effect)
    return effects


def refuse_expired(pool: Pool, now: float) -> list[Refuse]:
    """Refuse the queued requests whose due time has passed."""
    refusals = []
    while pool.due and pool.due[0][0] <= now:
        _, sequence, request_id = heappop(pool.due)
        req = find_queued(pool, sequence, request_id)
        if req is not None:
            remove_queued(pool, req)
            finish(pool, req)
            refusals.append(refuse_queued(req, RefusalReason.DEADLINE))
    return refusals


def find_queued(
    pool: Pool,
    sequence: int,
    request_id: str,
) -> Request | None:
    """Return the request of a queue entry, or None if the entry is stale."""
    req = pool.requests.get(request_id)
    if req is None or req.sequence != sequence:
        return None
    return req if req.state is RequestState.QUEUED else None


def refuse_queued(req: Request, reason: RefusalReason) -> Refuse:
    """Return the refusal of a queued request.

    Its run state tells whether an upstream may have run the request before.
    """
    if req.may_have_run or req.progress:
        return Refuse(req.request_id, reason, RunState.UNKNOWN)
    return Refuse(req.request_id, reason, RunState.NOT_RUN, 1)


def remove_queued(pool: Pool, req: Request) -> None:
    """Mark a queued request as done.

    Its heap entries stay and are skipped when they are reached.
    """
    req.state = RequestState.DONE
    record_dequeued(pool, req)


def next_workspace(pool: Pool) -> Workspace | None:
    """Return the workspace to serve next.

    Return None if no workspace with queued requests may start another one.
    """
    ready = [
        pool.workspaces[name]
        for name in pool.queues
        if pool.workspaces[name].queued and has_capacity(pool.workspaces[name])
    ]
    if not ready:
        return None
    return min(ready, key=lambda row: (row.virtual_time, row.name))


def has_capacity(workspace: Workspace) -> bool:
    """Return whether the workspace may run one more request."""
    limit = workspace.max_running
    return not limit or workspace.running < limit


def dispatch_next(
    pool: Pool,
    workspace: Workspace,
    now: float,
    choose: Chooser,
) -> Dispatch | None:
    """Dispatch the next request of the workspace if a slot is free."""
    req = first_queued(pool, workspace.name)
    rows = free_upstreams(pool, req, now)
    if not rows:
        return None
    heappop(pool.queues[workspace.name])
    record_dequeued(pool, req)
    row = choose(pool, req, rows)
    charge(pool, workspace, req)
    return start_run(pool, req, row, now)


def first_queued(pool: Pool, workspace: str) -> Request:
    """Return the next queued request of a workspace that has one.

    Stale entries at the head of the queue are removed.
    """
    queue = pool.queues[workspace]
    while True:
        _, _, sequence, request_id = queue[0]
        req = find_queued(pool, sequence, request_id)
        if req is not None:
            return req
        heappop(queue)


def charge(pool: Pool, workspace: Workspace, req: Request) -> None:
    """Charge the work of a request to the virtual time of its workspace."""
    charge_work(pool, workspace, req.work, workspace.weight)
    workspace.running += 1


def start_run(
    pool: Pool,
    req: Request,
    row: Upstream,
    now: float,
) -> Dispatch:
    """Occupy a slot of the upstream and return the dispatch effect."""
    row.in_flight += 1
    req.upstream_id = row.upstream_id
    req.run += 1
    req.dispatched_at = now
    right = required_right(req)
    waits = right is not Right.NONE
    req.state = RequestState.AWAITING_RIGHT if waits else RequestState.RUNNING
    record_prefix(pool, req, row.upstream_id, now)
    return Dispatch(req.request_id, row.upstream_id, req.run, right)


def required_right(req: Request) -> Right:
    """Return what must be acquired before the request may run.

    It guarantees that no other process runs the same request. Idempotent
    requests need no such guarantee.
    """
    if req.idempotent:
        return Right.NONE
    return Right.CLAIM if req.key else Right.PERMIT


def release(pool: Pool, req: Request) -> None:
    """Free the slot that the request occupies, if it occupies one."""
    if req.state not in {RequestState.RUNNING, RequestState.AWAITING_RIGHT}:
        return
    row = pool.upstreams.get(req.upstream_id)
    if row is not None:
        row.in_flight = max(0, row.in_flight - 1)
    workspace = pool.workspaces[req.workspace]
    workspace.running = max(0, workspace.running - 1)


def finish(pool: Pool, req: Request) -> None:
    """Remove a request that has its final outcome from the pool."""
    release(pool, req)
    req.state = RequestState.DONE
    pool.requests.pop(req.request_id, None)


def complete(pool: Pool, req: Request, now: float) -> None:
    """Remove a request whose response is complete, and record its duration."""
    row = pool.upstreams.get(req.upstream_id)
    if row is not None:
        record_success(row, now - req.dispatched_at, req.progress)
    finish(pool, req)
