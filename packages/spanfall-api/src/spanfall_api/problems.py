"""Describe refusals as problem documents (RFC 9457)."""

from typing import Final

from pydantic import BaseModel
from spanfall_core.reasons import RefusalReason, RunState

#: Media type of a problem document.
PROBLEM_TYPE: Final = 'application/problem+json'

#: HTTP status of each refusal.
STATUS_OF: Final = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.BODY_TIMEOUT: 408,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_REQUEST: 404,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.CONCURRENCY_LIMITED: 429,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.NO_HOME: 503,
    RefusalReason.NODE_DRAINING: 503,
    RefusalReason.NODE_NOT_READY: 503,
    RefusalReason.STORE_UNAVAILABLE: 503,
    RefusalReason.DUPLICATE_KEY: 409,
    RefusalReason.RETRIES_EXHAUSTED: 502,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.CANCELLED: 499,
    RefusalReason.REVISION_CONFLICT: 412,
    RefusalReason.REVISION_REQUIRED: 428,
    RefusalReason.BAD_SELECTOR: 400,
    RefusalReason.UNKNOWN_OBJECT: 404,
}


class Problem(BaseModel):
    """Tell a caller why there is no answer and whether the request ran.

    ``run`` is ``not-run`` only if it is certain that no upstream ran it.
    """

    type: str
    title: str
    status: int
    reason: RefusalReason
    run: RunState
    detail: str = ''
    request_id: str = ''


class RefusedError(Exception):
    """Carry a refusal from where it is decided to where it is rendered."""

    def __init__(
        self,
        reason: RefusalReason,
        detail: str = '',
        run: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        """Keep the typed reason; ``retry_after`` is in seconds."""
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail
        self.run = run
        self.retry_after = retry_after


def build_problem(exc: RefusedError, request_id: str = '') -> Problem:
    """Return the problem document of a refusal."""
    return Problem(
        type=f'urn:spanfall:refusal:{exc.reason.value}',
        title=exc.reason.value.replace('-', ' ').capitalize(),
        status=STATUS_OF[exc.reason],
        reason=exc.reason,
        run=exc.run,
        detail=exc.detail,
        request_id=request_id,
    )
