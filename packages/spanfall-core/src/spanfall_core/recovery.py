"""Decide what follows a failed run: a retry, a resume or a final refusal.

A request that is not idempotent is requeued only if no byte of it reached an
upstream, or if the upstream refused it before running it. After any other
failure the outcome of such a request is unknown.
"""

from enum import StrEnum, unique

from spanfall_core.admission import enqueue
from spanfall_core.dispatch import finish, release
from spanfall_core.effects import Effect, Refuse, Retried
from spanfall_core.reasons import RefusalReason, RetryReason, RunState
from spanfall_core.tables import Pool, Request, UpstreamState
from spanfall_core.upstreams import record_failure

#: Retry-After of a request that has exhausted its retries, in seconds.
EXHAUSTED_RETRY_AFTER = 2.0


@unique
class Failure(StrEnum):
    """Classify the failure of a run by whether the request may have run."""

    CONNECT = 'connect'
    REFUSED = 'refused'
    ERROR = 'error'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    LEAVING = 'leaving'


#: Failures that prove that the request did not run.
PROVEN_NOT_RUN = frozenset((Failure.CONNECT, Failure.REFUSED))

RETRY_REASONS = {
    Failure.CONNECT: RetryReason.CONNECT_FAILED,
    Failure.REFUSED: RetryReason.UPSTREAM_REFUSED,
    Failure.ERROR: RetryReason.UPSTREAM_ERROR,
    Failure.BROKEN: RetryReason.STREAM_BROKEN,
    Failure.TIMEOUT: RetryReason.UPSTREAM_TIMEOUT,
    Failure.LEAVING: RetryReason.UPSTREAM_LEAVING,
}

#: Failures that don't count towards the ejection of the upstream.
NOT_UPSTREAM_FAULTS = frozenset((Failure.LEAVING, Failure.REFUSED))


def run_failed(
    pool: Pool,
    req: Request,
    failure: Failure,
    now: float,
) -> list[Effect]:
    """Requeue the request, or end it with a refusal."""
    row = pool.upstreams.get(req.upstream_id)
    if row is not None and failure not in NOT_UPSTREAM_FAULTS:
        record_failure(pool, row, now)
    is_leaving = row is None or row.state is not UpstreamState.ACTIVE
    if failure not in PROVEN_NOT_RUN:
        req.may_have_run = True
    if req.may_have_run and not req.idempotent:
        finish(pool, req)
        reason = RefusalReason.OUTCOME_UNKNOWN
        return [Refuse(req.request_id, reason, RunState.UNKNOWN)]
    if is_leaving and failure is not Failure.ERROR:
        failure = Failure.LEAVING
    if not consume_retry(pool, req, failure):
        finish(pool, req)
        return [refuse_exhausted(req)]
    return [requeue(pool, req, RETRY_REASONS[failure])]


def consume_retry(pool: Pool, req: Request, failure: Failure) -> bool:
    """Consume a retry of the request and the pool; return whether it may retry.

    The platform makes upstreams leave, so such failures consume no retry. A
    request with progress may retry even if the pool has no credit left.
    """
    if failure is Failure.LEAVING:
        return True
    if req.retries >= pool.policy.max_retries:
        return False
    if req.progress or pool.retry_credit >= 1:
        pool.retry_credit = max(0, pool.retry_credit - 1)
        req.retries += 1
        return True
    return False


def refuse_exhausted(req: Request) -> Refuse:
    """Return the refusal of a request that has exhausted its retries."""
    run_state = RunState.UNKNOWN if req.may_have_run else RunState.NOT_RUN
    return Refuse(
        req.request_id,
        RefusalReason.RETRIES_EXHAUSTED,
        run_state,
        EXHAUSTED_RETRY_AFTER,
    )


def requeue(pool: Pool, req: Request, reason: RetryReason) -> Retried:
    """Return the request to its queue, avoiding the failed upstream."""
    release(pool, req)
    req.avoid.add(req.upstream_id)
    enqueue(pool, req)
    pool.retries[reason] = pool.retries.get(reason, 0) + 1
    return Retried(req.request_id, reason)
