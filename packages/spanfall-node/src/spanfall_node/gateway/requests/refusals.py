"""Answer callers whose request is not served."""

from dataclasses import dataclass
from http import HTTPStatus

import msgspec
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.net.ports import Headers

#: Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class RefusedError(Exception):
    """Say that a request is not served, and when to come back."""

    def __init__(
        self,
        status: int,
        reason: RefusalReason,
        retry_after: float = 0,
        *,
        is_transient: bool = False,
        detail: str = '',
    ) -> None:
        """Hold the status, the reason and the seconds to wait.

        ``may_pass`` tells that what is missing may come in a moment, and
        ``detail`` tells operators what decided it.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.is_transient = is_transient
        self.detail = detail


class EndsUpstreamsError(RefusedError):
    """Say that upstreams ended each time that they ran this request.

    It has run at those, so the answer neither promises that it has not nor
    says when to come back.
    """

    def __init__(self, identity: RequestIdentity) -> None:
        """Hold the name of the request for the log."""
        super().__init__(
            502,
            RefusalReason.ENDS_UPSTREAMS,
            detail=f'identity {identity}',
        )


class UnitsMissingError(RefusedError):
    """Say that a request needs more units of a limit than are held here."""

    def __init__(
        self,
        workspace: str,
        units: float,
        retry_after: float,
        *,
        is_transient: bool,
        detail: str,
    ) -> None:
        """Hold the workspace and all units that the request needs."""
        super().__init__(
            429,
            RefusalReason.RATE_LIMITED,
            retry_after,
            is_transient=is_transient,
            detail=detail,
        )
        self.workspace = workspace
        self.units = units


@dataclass(frozen=True, slots=True)
class ProblemDetails:
    """Tell a caller why its request is not served (RFC 9457)."""

    title: str
    status: int
    reason: str


def refusal_body(refusal: RefusedError) -> bytes:
    """Return the body of a refusal."""
    title = HTTPStatus(refusal.status).phrase
    problem_details = ProblemDetails(
        title, refusal.status, refusal.reason.value
    )
    return msgspec.json.encode(problem_details)


def refusal_headers(refusal: RefusedError, size: int) -> Headers:
    """Return the headers of a refusal with a body of that size."""
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', b'%d' % size),
    ]
    if refusal.retry_after and refusal.status in NOT_RUN_STATUSES:
        headers.append((b'retry-after', b'%.3f' % refusal.retry_after))
    return headers
