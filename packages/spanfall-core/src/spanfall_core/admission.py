"""Decide whether a request is admitted to the queue of its pool.

Limits are checked in the order rate, concurrency, queue length, deadline, so
that a refusal names the first limit that the caller can act on.
"""

from heapq import heappush

from spanfall_core.effects import Effect, Refuse
from spanfall_core.fair_queueing import join_waiting
from spanfall_core.reasons import RefusalReason
from spanfall_core.tables import (
    Pool,
    Request,
    RequestState,
    ServiceKind,
    Workspace,
)
from spanfall_core.upstreams import usable_slots

#: Upper bound of the Retry-After of a refusal, in seconds.
MAX_RETRY_AFTER = 30.0
#: Lower bound of the Retry-After of a refusal, in seconds.
MIN_RETRY_AFTER = 1.0
#: Lower bound of the estimated work of a request, in slot-seconds.
MIN_WORK_SECONDS = 0.01


def refill_bucket(workspace: Workspace, now: float) -> None:
    """Add the tokens accrued since the last refill to the token bucket."""
    accrued = (now - workspace.refilled_at) * workspace.rate
    workspace.bucket = min(workspace.burst, workspace.bucket + max(0, accrued))
    workspace.refilled_at = now


def expected_wait(pool: Pool, req: Request, now: float) -> float:
    """Estimate the seconds until a request queued now is dispatched.

    The slots are divided by weight among the workspaces with queued requests.
    Within its workspace, only work of the same or a higher priority is ahead.
    """
    slots = usable_slots(pool, now)
    busy = sum(row.in_flight for row in pool.upstreams.values())
    if not slots or busy + pool.queued < slots:
        return 0.0
    workspace = find_workspace(pool, req.workspace)
    ahead = sum(
        work
        for priority, work in workspace.queued_work.items()
        if priority >= req.priority
    )
    next_free = mean_run_seconds(pool) / slots
    return next_free + ahead / (slots * slot_share(pool, workspace))


def slot_share(pool: Pool, workspace: Workspace) -> float:
    """Return the fraction of the slots that a workspace gets by its weight.

    Only the other workspaces with queued requests compete for the slots.
    """
    others = sum(
        row.weight
        for row in pool.workspaces.values()
        if row.queued and row is not workspace
    )
    return workspace.weight / (workspace.weight + others)


def mean_run_seconds(pool: Pool) -> float:
    """Estimate how long a request occupies a slot, in seconds.

    The estimate is the mean of the moving averages of all upstreams.
    """
    rows = pool.upstreams.values()
    if not rows:
        return 0.0
    return sum(row.call_seconds for row in rows) / len(rows)


def estimate_work(pool: Pool, req: Request) -> float:
    """Estimate how long this request will occupy a slot, in seconds."""
    rows = pool.upstreams.values()
    if req.kind is ServiceKind.APPLICATION or not rows:
        return max(MIN_WORK_SECONDS, mean_run_seconds(pool))
    token_seconds = sum(row.token_seconds for row in rows) / len(rows)
    return max(MIN_WORK_SECONDS, expected_tokens(req) * token_seconds)


def check_limits(
    pool: Pool,
    workspace: Workspace,
    req: Request,
    now: float,
) -> tuple[RefusalReason, float] | None:
    """Return the first limit that the request exceeds, or None.

    The second value is the number of seconds after which to retry.
    """
    if workspace.rate:
        refill_bucket(workspace, now)
        if workspace.bucket < 1:
            seconds_to_refill = (1 - workspace.bucket) / workspace.rate
            return RefusalReason.RATE_LIMITED, seconds_to_refill
    in_use = workspace.running + workspace.queued
    limit = workspace.max_running + workspace.max_queued
    if workspace.max_running and in_use >= limit:
        return RefusalReason.CONCURRENCY_LIMITED, mean_run_seconds(pool)
    wait = expected_wait(pool, req, now)
    if pool.queued >= pool.policy.max_queued:
        return RefusalReason.QUEUE_FULL, wait
    if req.deadline is not None and now + wait > req.deadline:
        return RefusalReason.DEADLINE, wait
    return None


def admit(pool: Pool, req: Request, now: float) -> list[Effect]:
    """Queue the request, or refuse it as not run.

    A request that another home admitted and handed over (attempt above one)
    is not checked against the limits: it has already been counted.
    """
    workspace = find_workspace(pool, req.workspace)
    exceeded = None
    if req.attempt == 1:
        exceeded = check_limits(pool, workspace, req, now)
    if exceeded is not None:
        reason, wait = exceeded
        retry_after = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        return [Refuse(req.request_id, reason, retry_after=retry_after)]
    if workspace.rate and req.attempt == 1:
        workspace.bucket -= 1
    credit = pool.retry_credit + pool.policy.retry_ratio
    pool.retry_credit = min(pool.policy.retry_burst, credit)
    pool.requests[req.request_id] = req
    enqueue(pool, req)
    return []


def find_workspace(pool: Pool, name: str) -> Workspace:
    """Return the row of a workspace; create one without limits if missing."""
    workspace = pool.workspaces.get(name)
    if workspace is None:
        workspace = Workspace(name)
        pool.workspaces[name] = workspace
    return workspace


def enqueue(pool: Pool, req: Request) -> None:
    """Add the request to the queue of its workspace.

    The queue is ordered by priority, then by due time.
    """
    workspace = find_workspace(pool, req.workspace)
    queue = pool.queues.setdefault(req.workspace, [])
    if not workspace.queued and not workspace.running:
        join_waiting(pool, workspace)
    pool.sequence += 1
    req.sequence = pool.sequence
    due = due_time(req)
    heappush(queue, (-req.priority, due, req.sequence, req.request_id))
    heappush(pool.due, (due, req.sequence, req.request_id))
    req.state = RequestState.QUEUED
    req.work = estimate_work(pool, req)
    workspace.queued += 1
    waiting = workspace.queued_work.get(req.priority, 0)
    workspace.queued_work[req.priority] = waiting + req.work
    pool.queued += 1


def record_dequeued(pool: Pool, req: Request) -> None:
    """Subtract a request from the counts of its queue."""
    workspace = pool.workspaces[req.workspace]
    workspace.queued -= 1
    remaining_work = workspace.queued_work[req.priority] - req.work
    workspace.queued_work[req.priority] = remaining_work
    if not workspace.queued:
        workspace.queued_work.clear()
    pool.queued -= 1


def due_time(req: Request) -> float:
    """Return the time at which a request is refused if it is still queued.

    The deadline applies to the start of the response. A stream that has
    started is limited only by the maximum lifetime of a request.
    """
    if req.progress or req.deadline is None:
        return req.expires_at
    return min(req.deadline, req.expires_at)


def expected_tokens(req: Request) -> int:
    """Return the maximum number of tokens still to be generated."""
    if req.kind is ServiceKind.APPLICATION:
        return 0
    return max(0, req.max_tokens - req.progress)
