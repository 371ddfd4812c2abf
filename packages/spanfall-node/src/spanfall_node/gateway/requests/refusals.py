"""Describe refused requests and build the responses to them."""

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from spanfall_core.gateway.crashes.traits import Trait, named_traits
from spanfall_core.gateway.routing.sends import NextStep
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.net.ports import Headers

#: Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Retry-After seconds where the request has not run.
NOT_RUN_RETRY_SECONDS = 0.2
#: Retry-After seconds for callers that a stopping node refuses.
DRAINING_RETRY_SECONDS = 0.05


class RefusedError(Exception):
    """Signal that a request is refused, and when to retry it."""

    def __init__(
        self,
        status: int,
        reason: RefusalReason,
        retry_after: float = 0,
        *,
        is_transient: bool = False,
        detail: str = '',
    ) -> None:
        """Hold the status, the reason and the seconds until a retry.

        ``is_transient`` marks a refusal whose cause may end within moments.
        ``detail`` states the cause for the log.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.is_transient = is_transient
        self.detail = detail


class EndsUpstreamsError(RefusedError):
    """Signal that a request is quarantined: upstreams crashed running its like.

    It may have run there itself, so the response neither guarantees that it has
    not run nor carries a Retry-After header.
    """

    def __init__(self, traits: Iterable[Trait]) -> None:
        """Hold the quarantined traits of the request for the log."""
        super().__init__(
            502,
            RefusalReason.ENDS_UPSTREAMS,
            detail=named_traits(traits),
        )


class UnitsMissingError(RefusedError):
    """Signal that a request needs more units than this entry holds."""

    def __init__(
        self,
        workspace: str,
        units: float,
        retry_after: float,
        *,
        is_transient: bool,
        detail: str,
    ) -> None:
        """Hold the workspace and the total units that the request needs."""
        super().__init__(
            429,
            RefusalReason.RATE_LIMITED,
            retry_after,
            is_transient=is_transient,
            detail=detail,
        )
        self.workspace = workspace
        self.units = units


def draining_refusal() -> RefusedError:
    """Return the refusal of a node that stops."""
    return RefusedError(
        503, RefusalReason.NODE_DRAINING, DRAINING_RETRY_SECONDS
    )


@dataclass(frozen=True, slots=True)
class ProblemDetails:
    """Describe to a caller why its request is refused (RFC 9457)."""

    title: str
    status: int
    reason: str


def refusal_body(refusal: RefusedError) -> bytes:
    """Return the problem document of a refusal."""
    title = HTTPStatus(refusal.status).phrase
    problem_details = ProblemDetails(
        title, refusal.status, refusal.reason.value
    )
    return msgspec.json.encode(problem_details)


def refusal_headers(refusal: RefusedError, size: int) -> Headers:
    """Return the response headers of a refusal with a body of ``size`` bytes."""
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', b'%d' % size),
    ]
    if refusal.retry_after and refusal.status in NOT_RUN_STATUSES:
        headers.append((b'retry-after', b'%.3f' % refusal.retry_after))
    return headers


def internal_refusal(*, may_have_run: bool) -> RefusedError:
    """Return the refusal that ends a request after an unexpected error."""
    if may_have_run:
        return RefusedError(502, RefusalReason.INTERNAL_ERROR)
    return RefusedError(
        503, RefusalReason.INTERNAL_ERROR, NOT_RUN_RETRY_SECONDS
    )


def final_refusal(step: NextStep) -> RefusedError:
    """Return the refusal that ends a request after a failed send."""
    if step is NextStep.ANSWER_NOT_RUN:
        return RefusedError(
            503, RefusalReason.NO_UPSTREAM, NOT_RUN_RETRY_SECONDS
        )
    return RefusedError(502, RefusalReason.OUTCOME_UNKNOWN)
