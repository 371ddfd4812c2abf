"""Hold the progress of one admitted request and answer its caller."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.routing.sends import SendOutcome, SendState

from spanfall_node.gateway.net.client import AnswerHead
from spanfall_node.gateway.requests.admission import Work
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.event_parts import EventSplitter
from spanfall_node.gateway.upstreams.forwarded import answer_headers

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Answered:
    """Say that the caller has its answer, whole or visibly cut."""


@dataclass(slots=True)
class Failed:
    """Say how a send ended, with the upstream's answer if it came whole."""

    end: SendOutcome
    reason: str
    head: AnswerHead | None = None
    body: bytes = b''


@dataclass(slots=True)
class Pace:
    """Measure the pauses between the parts of an answer, in seconds."""

    first_at: float = 0
    last_at: float = 0
    longest: float = 0

    def note(self, now: float) -> None:
        """Note a part that goes out now."""
        if not self.first_at:
            self.first_at = now
        if self.last_at:
            self.longest = max(self.longest, now - self.last_at)
        self.last_at = now


@dataclass(slots=True)
class Exchange:
    """Hold the progress of one request."""

    work: Work
    caller: CallerConnection
    sends: SendState = field(default_factory=SendState)
    tried: set[Lifetime] = field(default_factory=set)
    events: EventSplitter = field(default_factory=EventSplitter)
    #: Whether the head of the answer has been sent to the caller.
    started: bool = False
    pace: Pace = field(default_factory=Pace)
    #: Tells that the answer has begun, where the request is watched.
    tell_began: Callable[[], Awaitable[None]] | None = None


async def relay_whole(
    state: GatewayState,
    exchange: Exchange,
    head: AnswerHead,
    body: bytes,
) -> None:
    """Send the caller an upstream's answer that was read whole."""
    headers = answer_headers(head, len(body), exchange.work.req.method)
    await exchange.caller.answer(head.status, headers, body)
    note_answer(state, exchange, head.status)


def log_answered(
    state: GatewayState,
    exchange: Exchange,
    lifetime: Lifetime,
    status: int,
) -> None:
    """Log the end of a whole answer with what decided it."""
    work = exchange.work
    now = state.timers.now()
    logger.info(
        'Request %s of %s: %s from %s, send %s, first part after %.3f s, '
        'longest pause %.3f s, all %.3f s, '
        '%s prompt tokens, %s running there, configuration %s, '
        '%.0f units of %s, identity %s',
        work.attempt_id,
        work.route.name,
        status,
        lifetime,
        exchange.sends.sends,
        max(0, exchange.pace.first_at - work.began_at),
        exchange.pace.longest,
        now - work.began_at,
        work.prompt_tokens,
        state.loads.running_at(lifetime),
        state.version,
        work.units,
        work.workspace.name if work.workspace else None,
        work.identity,
    )


def note_answer(state: GatewayState, exchange: Exchange, status: int) -> None:
    """Count an answer that begins now."""
    state.counters.answers.labels(status).inc()
    waited = state.timers.now() - exchange.work.began_at
    state.counters.first_part.observe(waited)


def count_run(state: GatewayState, work: Work) -> None:
    """Count a run that began, once a request, for the usage report."""
    if work.counted or work.workspace is None:
        return
    work.counted = True
    state.counters.units_run.labels(work.workspace.name).inc(work.units)
    began = work.began_at
    if work.route.kind is RouteKind.STREAM:
        began = state.timers.now()
    state.usage.count(work.workspace.name, state.true_time.at(began))
