"""Send a request to one upstream and relay its response."""

import logging
from dataclasses import dataclass

import anyio
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.sends import SendOutcome, may_run_again

from spanfall_node.gateway.net.bodies import read_held_body
from spanfall_node.gateway.net.body_ends import BodyFraming
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import (
    BrokenCallError,
    CallerGoneError,
    CallError,
    NotSentError,
    PathUnknownError,
    UnsoundServerError,
)
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.requests.refusals import NOT_RUN_STATUSES
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    Answered,
    BufferedResponse,
    Exchange,
    Failed,
    count_run,
    log_response,
    relay_buffered,
)
from spanfall_node.gateway.upstreams.brittle_upstreams import note_rejection
from spanfall_node.gateway.upstreams.event_parts import EventTooLargeError
from spanfall_node.gateway.upstreams.forwarded import (
    is_event_stream,
    upstream_call,
)
from spanfall_node.gateway.upstreams.hearing import (
    OTHER_LIFETIME_STATUS,
    record_statement,
)
from spanfall_node.gateway.upstreams.response_ends import (
    MAX_UNSTATED_BYTES,
    checked_end,
    relay_stream,
    relay_unheld,
)
from spanfall_node.gateway.upstreams.speeds import (
    record_call,
    record_first_token,
)

logger = logging.getLogger(__name__)

#: Timeout in seconds of a new connection to an upstream.
CONNECT_TIMEOUT_SECONDS = 0.4
#: Weights of failures, relative to 1 for a failed request: a refusal weighs
#: less, an unreachable upstream and one that sends without end more.
REFUSED_WEIGHT = 0.3
UNREACHABLE_WEIGHT = 3.0
UNSOUND_WEIGHT = 3.0


async def send(
    state: GatewayState,
    pool: ConnectionPool,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request to the chosen upstream and relay its response."""
    upstream = choice.upstream
    state.loads.begin(upstream.lifetime, choice.prefill)
    state.notify_load_changed()
    parts = exchange.admitted.parts
    state.prompts.prefixes.record(upstream.lifetime, parts)
    if not exchange.sends.sends:
        state.record_prefill_work(upstream.service, choice.prefill)
    pending = PendingPrefill(state, choice, choice.prefill, state.timers.now())
    try:
        return await _send_over(state, pool, exchange, choice, pending)
    except NotSentError as exc:
        is_known = not isinstance(exc, PathUnknownError)
        weight = UNREACHABLE_WEIGHT if is_known else 0
        return Failed(SendOutcome.NOT_SENT, exc.reason, weight=weight)
    finally:
        pending.done()
        state.loads.end(upstream.lifetime)
        state.notify_load_changed()


@dataclass(slots=True)
class PendingPrefill:
    """Hold the prompt tokens that the upstream has yet to prefill."""

    state: GatewayState
    choice: Choice
    tokens: int
    sent_at: float

    def first_token(self) -> None:
        """Measure the upstream's prefill speed at the first token."""
        if self.tokens and not self.choice.ahead:
            record_first_token(
                self.state,
                self.choice,
                self.tokens,
                self.state.timers.now() - self.sent_at,
            )
        self.done()

    def done(self) -> None:
        """Count the prompt as prefilled, once."""
        lifetime = self.choice.upstream.lifetime
        self.state.loads.first_token(lifetime, self.tokens)
        self.state.notify_load_changed()
        self.tokens = 0


async def _send_over(
    state: GatewayState,
    pool: ConnectionPool,
    exchange: Exchange,
    choice: Choice,
    pending: PendingPrefill,
) -> Answered | Failed:
    upstream = choice.upstream
    conn = await pool.acquire(
        upstream.lifetime,
        upstream.address,
        CONNECT_TIMEOUT_SECONDS,
        runs_once=not may_run_again(exchange.admitted.route),
    )
    _count_send(state, exchange)
    try:
        return await _send_and_receive(state, exchange, choice, conn, pending)
    except CallerGoneError:
        await conn.close()
        raise
    except (UnsoundServerError, EventTooLargeError) as exc:
        return Failed(SendOutcome.BROKEN, _reason(exc), weight=UNSOUND_WEIGHT)
    except BrokenCallError as exc:
        return Failed(SendOutcome.BROKEN, exc.reason, weight=1)
    finally:
        if conn.body_end is not None:
            state.counters.response_ends.labels(conn.body_end.value).inc()
        with anyio.CancelScope(shield=True):
            await pool.release(upstream.lifetime, conn)


def _count_send(state: GatewayState, exchange: Exchange) -> None:
    """Count a send when its first byte is due, however long ago it was chosen.

    A retry arrives in the window of its send, not in that of its decision.
    """
    exchange.sends.sends += 1
    if exchange.has_reserved_retry:
        exchange.has_reserved_retry = False
        service = exchange.admitted.service
        state.retries.record_send(service, state.timers.now())


def _reason(exc: Exception) -> str:
    if isinstance(exc, CallError):
        return exc.reason
    return type(exc).__name__


def _refusal_weight(state: GatewayState, choice: Choice) -> float:
    """Return the weight of a refusal: 0 if it came with a back-off.

    A back-off is no failure: after it the upstream gets requests as before.
    """
    avoided = state.words.backoffs.active(state.timers.now())
    return 0 if choice.upstream.lifetime in avoided else REFUSED_WEIGHT


async def _send_and_receive(
    state: GatewayState,
    exchange: Exchange,
    choice: Choice,
    conn: Connection,
    pending: PendingPrefill,
) -> Answered | Failed:
    admitted = exchange.admitted
    names = state.platform.names
    call = upstream_call(
        names,
        admitted,
        choice.upstream.upstream_id,
        exchange.events.last_id,
        admitted.deadline - state.timers.now(),
    )
    expected_id = admitted.attempt_id.encode('latin-1')
    lifetime = choice.upstream.lifetime
    sent_at = state.timers.now()
    exchange.sent_at = sent_at

    def is_for_request(head: ResponseHead) -> bool:
        # A response to another request still comes from this upstream.
        record_statement(state, lifetime, head, sent_at)
        answered = head.header(names.attempt_id)
        if answered:
            return answered == expected_id
        return not head.is_success

    host = admitted.req.header(b'host')
    head = await conn.send_and_read_head(call, host, is_for_request)
    if is_event_stream(head) and head.status == 200:
        send_result = await relay_stream(
            state, exchange, choice.upstream, head, conn, pending.first_token
        )
    else:
        held_before = exchange.caller.held.size
        try:
            send_result = await _relay_body(state, exchange, choice, conn, head)
        finally:
            exchange.caller.held.shrink_to(held_before, state.timers.now())
    if isinstance(send_result, Answered):
        log_response(state, exchange, lifetime, head.status, conn.body_end)
    return send_result


async def _relay_body(
    state: GatewayState,
    exchange: Exchange,
    choice: Choice,
    conn: Connection,
    head: ResponseHead,
) -> Answered | Failed:
    """Read a body to its end and relay it, unless the response is a failure."""
    body, is_whole = await read_held_body(
        conn,
        exchange.caller.held,
        MAX_UNSTATED_BYTES,
        state.turns,
        head.stated_length if conn.framing is BodyFraming.LENGTH else None,
    )
    end = await checked_end(exchange, conn, head) if is_whole else None
    response = BufferedResponse(head, body, end)
    failed = _classify_failure(state, choice, response)
    if failed is not None:
        return failed
    count_run(state, exchange.admitted)
    if head.is_success:
        _record_call(state, exchange, choice)
        if exchange.run is not None:
            await exchange.run.record_part(state.timers.now())
    if is_whole:
        await relay_buffered(state, exchange, response)
        return Answered()
    return await relay_unheld(state, exchange, conn, head, body)


def _record_call(
    state: GatewayState, exchange: Exchange, choice: Choice
) -> None:
    """Record the duration of a successful call of an application."""
    admitted = exchange.admitted
    if not admitted.prompt_tokens:
        seconds = state.timers.now() - exchange.sent_at
        record_call(state, choice.upstream, admitted.route.name, seconds)


def _classify_failure(
    state: GatewayState,
    choice: Choice,
    response: BufferedResponse,
) -> Failed | None:
    """Return how a response failed, or None if it is relayed."""
    names = state.platform.names
    head = response.head
    if head.status == OTHER_LIFETIME_STATUS:
        state.directory.end(choice.upstream.lifetime)
        return Failed(
            SendOutcome.OTHER_LIFETIME, 'another lifetime answers there'
        )
    if head.header(names.not_run):
        if head.status in NOT_RUN_STATUSES:
            note_rejection(state, choice.upstream.lifetime)
            return Failed(
                SendOutcome.REFUSED,
                f'refused with {head.status}',
                weight=_refusal_weight(state, choice),
            )
        return None
    if head.status in NOT_RUN_STATUSES:
        reason = f'{head.status} but may have run'
        return Failed(SendOutcome.BROKEN, reason, weight=1)
    if head.status >= 500:
        reason = f'failed with {head.status}'
        whole = None if response.end is None else response
        return Failed(SendOutcome.FAILED, reason, whole, weight=1)
    if head.is_success and not head.header(names.signature):
        reason = 'success without a signature'
        return Failed(SendOutcome.BROKEN, reason, weight=1)
    return None
