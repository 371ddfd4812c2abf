"""Answer the requests of callers that are refused."""

import logging

import h11
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.net.errors import BadRequestError, CallerGoneError
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.requests.refusals import (
    RefusedError,
    internal_refusal,
    refusal_body,
    refusal_headers,
)
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

_BAD_REQUESTS = {
    413: RefusalReason.BODY_TOO_LARGE,
    408: RefusalReason.BODY_TIMEOUT,
    503: RefusalReason.NODE_BUSY,
}
#: Retry-After seconds for a caller whose costly request found no turn.
BUSY_RETRY_SECONDS = 1.0


async def refuse(
    state: GatewayState,
    caller: CallerConnection,
    refusal: RefusedError,
    req: CallerRequest | None,
) -> None:
    """Answer a request, whose head may be unknown, with a refusal."""
    state.counters.refusals.labels(refusal.reason.value).inc()
    logger.info(
        'Refused request %s with %s: %s; %s; target %s, configuration %s',
        req.header(state.platform.names.attempt_id) if req else None,
        refusal.status,
        refusal.reason,
        refusal.detail,
        req.target if req else None,
        state.version,
    )
    body = refusal_body(refusal)
    if req is not None and req.method == 'HEAD':
        body = b''
    headers = refusal_headers(refusal, len(body))
    await caller.send_response(refusal.status, headers, body)


async def refuse_bad(
    state: GatewayState,
    caller: CallerConnection,
    exc: BadRequestError,
) -> None:
    """Answer a malformed request and close its connection afterwards."""
    caller.closing = True
    reason = _BAD_REQUESTS.get(exc.status, RefusalReason.BAD_REQUEST)
    refusal = RefusedError(
        exc.status, reason, BUSY_RETRY_SECONDS, detail=exc.reason
    )
    await refuse(state, caller, refusal, None)


def unexpected_end(
    caller: CallerConnection, *, may_have_run: bool
) -> RefusedError | CallerGoneError:
    """Return how a request ends after an unexpected error.

    A response that has begun can only be cut.
    """
    caller.closing = True
    if caller.protocol.our_state is h11.SEND_RESPONSE:
        return internal_refusal(may_have_run=may_have_run)
    return CallerGoneError()
