"""Send a request to one upstream and relay what it answers."""

import logging
from dataclasses import dataclass

import anyio
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.sends import SendOutcome

from spanfall_node.gateway.net.client import AnswerHead, Connection
from spanfall_node.gateway.net.errors import (
    BrokenCallError,
    CallerGoneError,
    CallError,
    NotSentError,
)
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.requests.refusals import PROMISES
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    Answered,
    Exchange,
    Failed,
    count_run,
    log_answered,
    note_answer,
    relay_whole,
)
from spanfall_node.gateway.upstreams.event_parts import EventTooLargeError
from spanfall_node.gateway.upstreams.forwarded import (
    answer_headers,
    is_event_stream,
    upstream_call,
)
from spanfall_node.gateway.upstreams.hearing import OTHER_LIFETIME, hear

logger = logging.getLogger(__name__)

#: Seconds for a new connection to an upstream.
CONNECT_SECONDS = 0.4
#: Largest answer that is read whole before it is relayed.
WHOLE_ANSWER_BYTES = 8_388_608
#: Weights of failures: a server that refuses is less suspect than one that
#: fails, one that cannot be reached more.
REFUSED_WEIGHT = 0.3
UNREACHABLE_WEIGHT = 3.0


async def send(
    state: GatewayState,
    pool: ConnectionPool,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request to one upstream and relay what it answers."""
    upstream = choice.upstream
    state.loads.begin(upstream.lifetime, choice.prefill)
    state.note_load()
    parts = exchange.work.parts
    state.prompts.prefixes.record(upstream.lifetime, parts)
    if not exchange.sends.sends:
        state.note_read_work(upstream.service, choice.prefill)
    pending = Prefill(state, choice, choice.prefill, state.timers.now())
    try:
        return await _send_over(state, pool, exchange, choice, pending)
    except NotSentError as exc:
        _note_failure(state, choice, UNREACHABLE_WEIGHT)
        return Failed(SendOutcome.NOT_SENT, exc.reason)
    finally:
        pending.done()
        state.loads.end(upstream.lifetime)
        state.note_load()


@dataclass(slots=True)
class Prefill:
    """Hold the prompt tokens that an upstream has still to read for us."""

    state: GatewayState
    choice: Choice
    tokens: int
    sent_at: float

    def first_token(self) -> None:
        """Learn from the first token how fast the upstream reads."""
        if self.tokens and not self.choice.ahead:
            self.state.note_first_token(
                self.choice.upstream.service,
                self.tokens,
                self.state.timers.now() - self.sent_at,
            )
        self.done()

    def done(self) -> None:
        """Count the prompt as read, once."""
        lifetime = self.choice.upstream.lifetime
        self.state.loads.first_token(lifetime, self.tokens)
        self.state.note_load()
        self.tokens = 0


async def _send_over(
    state: GatewayState,
    pool: ConnectionPool,
    exchange: Exchange,
    choice: Choice,
    pending: Prefill,
) -> Answered | Failed:
    upstream = choice.upstream
    conn = await pool.take(
        upstream.lifetime,
        upstream.address,
        CONNECT_SECONDS,
    )
    exchange.sends.sends += 1
    try:
        return await _talk(state, exchange, choice, conn, pending)
    except CallerGoneError:
        await conn.close()
        raise
    except (BrokenCallError, EventTooLargeError) as exc:
        _note_failure(state, choice, 1)
        return Failed(SendOutcome.BROKEN, _reason(exc))
    finally:
        with anyio.CancelScope(shield=True):
            await pool.give_back(upstream.lifetime, conn)


def _reason(exc: Exception) -> str:
    if isinstance(exc, CallError):
        return exc.reason
    return type(exc).__name__


def _note_failure(state: GatewayState, choice: Choice, weight: float) -> None:
    now = state.timers.now()
    state.loads.fail(choice.upstream.lifetime, now, weight)


def _note_refusal(state: GatewayState, choice: Choice) -> None:
    """Count a refusal, unless its upstream asked for a back-off with it.

    A back-off says all: after it the upstream is served as before.
    """
    avoided = state.words.backoffs.active(state.timers.now())
    if choice.upstream.lifetime not in avoided:
        _note_failure(state, choice, REFUSED_WEIGHT)


async def _talk(
    state: GatewayState,
    exchange: Exchange,
    choice: Choice,
    conn: Connection,
    pending: Prefill,
) -> Answered | Failed:
    work = exchange.work
    names = state.platform.names
    call = upstream_call(
        names,
        work,
        choice.upstream.upstream_id,
        exchange.events.last_id,
        work.deadline - state.timers.now(),
    )
    wanted = work.attempt_id.encode('latin-1')
    lifetime = choice.upstream.lifetime
    sent_at = state.timers.now()

    def is_ours(head: AnswerHead) -> bool:
        # One that is dropped was given by the same upstream.
        hear(state, lifetime, head, sent_at)
        answered = head.header(names.attempt_id)
        if answered:
            return answered == wanted
        return head.status >= 300

    host = work.req.header(b'host')
    head = await conn.send_and_read_head(call, host, is_ours)
    if is_event_stream(head) and head.status == 200:
        ended = await _relay_stream(state, exchange, head, conn, pending)
        if isinstance(ended, Answered):
            log_answered(state, exchange, lifetime, head.status)
        return ended
    body = await conn.read_body(WHOLE_ANSWER_BYTES)
    failed = _classified(state, choice, head, body)
    if failed is not None:
        return failed
    count_run(state, work)
    await relay_whole(state, exchange, head, body)
    log_answered(state, exchange, lifetime, head.status)
    return Answered()


def _classified(
    state: GatewayState,
    choice: Choice,
    head: AnswerHead,
    body: bytes,
) -> Failed | None:
    """Return how a whole answer failed, or None if it is relayed."""
    names = state.platform.names
    if head.status == OTHER_LIFETIME:
        state.directory.end(choice.upstream.lifetime)
        return Failed(
            SendOutcome.OTHER_LIFETIME, 'another lifetime answers there'
        )
    if head.header(names.not_run):
        if head.status in PROMISES:
            _note_refusal(state, choice)
            return Failed(SendOutcome.REFUSED, f'refused with {head.status}')
        return None
    if head.status in PROMISES:
        _note_failure(state, choice, 1)
        return Failed(SendOutcome.BROKEN, f'{head.status} but may have run')
    if head.status >= 500:
        _note_failure(state, choice, 1)
        return Failed(
            SendOutcome.FAILED, f'failed with {head.status}', head, body
        )
    if head.status < 300 and not head.header(names.signature):
        _note_failure(state, choice, 1)
        return Failed(SendOutcome.BROKEN, 'success without a signature')
    return None


async def _relay_stream(
    state: GatewayState,
    exchange: Exchange,
    head: AnswerHead,
    conn: Connection,
    pending: Prefill,
) -> Answered | Failed:
    if not head.header(state.platform.names.signature):
        return Failed(SendOutcome.BROKEN, 'a stream without a signature')
    exchange.events.restart()
    while True:
        part = await conn.read_part()
        if part is None:
            break
        pending.first_token()
        count_run(state, exchange.work)
        whole = exchange.events.feed(part)
        if whole:
            exchange.pace.note(state.timers.now())
            await _start(state, exchange, head)
            await exchange.caller.send_part(whole)
    await _start(state, exchange, head)
    if exchange.events.rest:
        await exchange.caller.send_part(exchange.events.rest)
    await exchange.caller.send_end()
    return Answered()


async def _start(
    state: GatewayState,
    exchange: Exchange,
    head: AnswerHead,
) -> None:
    if exchange.started:
        return
    if exchange.tell_began is not None:
        await exchange.tell_began()
    headers = answer_headers(head, None, exchange.work.req.method)
    exchange.started = True
    await exchange.caller.send_head(head.status, headers)
    note_answer(state, exchange, head.status)
