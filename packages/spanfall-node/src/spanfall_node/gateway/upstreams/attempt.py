"""Track the progress of one admitted request and its response."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import StreamRecord
from spanfall_core.gateway.routing.retry_budget import RetryDecision
from spanfall_core.gateway.routing.sends import SendOutcome, SendState

from spanfall_node.gateway.net.body_ends import PROVEN_ENDS, BodyEnd
from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.event_parts import EventSplitter
from spanfall_node.gateway.upstreams.forwarded import response_headers

logger = logging.getLogger(__name__)

#: Seconds before the deadline that are reserved for sending the response.
RESPONSE_MARGIN_SECONDS = 0.02


@dataclass(slots=True)
class Answered:
    """Mark a send whose response has been relayed to the caller."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """Hold a response that was read to its end."""

    head: ResponseHead
    body: bytes | bytearray
    end: BodyEnd | None


@dataclass(slots=True)
class Failed:
    """Hold how a send failed, with the upstream's response if it ended."""

    outcome: SendOutcome
    reason: str
    response: BufferedResponse | None = None
    #: What it says against the upstream, relative to 1 for a failed request.
    weight: float = 0


@dataclass(slots=True)
class PartTimings:
    """Measure the pauses between the parts of a response, in seconds."""

    first_at: float = 0
    last_at: float = 0
    longest_pause: float = 0

    def record(self, now: float) -> None:
        """Record a part that is sent now."""
        if not self.first_at:
            self.first_at = now
        if self.last_at:
            self.longest_pause = max(self.longest_pause, now - self.last_at)
        self.last_at = now


class RunObserver(Protocol):
    """Observe one run of a request."""

    async def record_part(self, now: float) -> None:
        """Record a part of the answer that was received now."""

    def broken(self) -> BrokenRun:
        """Return the run as one that broke now."""


@dataclass(slots=True)
class Exchange:
    """Hold the progress of one request over all of its sends."""

    admitted: AdmittedRequest
    caller: CallerConnection
    sends: SendState = field(default_factory=SendState)
    tried: set[Lifetime] = field(default_factory=set)
    #: Seconds for which the home held it, and the ticket under which it does.
    held_seconds: float = 0
    ticket: int = 0
    #: Whether the retry budget holds a retry for the next send.
    has_reserved_retry: bool = False
    #: What the retry budget allowed after the last send; None: not asked.
    retry_decision: RetryDecision | None = None
    #: Time of the steady clock at the last send.
    sent_at: float = 0
    events: EventSplitter = field(default_factory=EventSplitter)
    #: What sent the first event that was relayed; None before.
    origin: Origin | None = None
    #: Whether a response to the caller has begun.
    started: bool = False
    #: Ends the exchange by its deadline, less the time for the response.
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    timings: PartTimings = field(default_factory=PartTimings)
    #: What its current run shows of the causes of crashes.
    run: RunObserver | None = None
    #: Checks whether the upstream still runs after it closed a connection.
    check_still_runs: Callable[[], Awaitable[bool]] | None = None
    #: Tells the home what began the stream, unless it knows.
    announce_origin: Callable[[StreamRecord], Awaitable[None]] | None = None

    @property
    def is_continuable(self) -> bool:
        """Return whether an upstream can be known to continue the response."""
        return self.origin is None or self.origin.is_known


async def relay_buffered(
    state: GatewayState,
    exchange: Exchange,
    response: BufferedResponse,
) -> None:
    """Send the caller a response that was read to its end beforehand.

    A response without proof of its end is sent without proof, too.
    """
    is_proven = response.end in PROVEN_ENDS
    size = len(response.body) if is_proven else None
    head = response.head
    headers = response_headers(head, size, exchange.admitted.req.method)
    exchange.started = True
    exchange.scope.deadline += RESPONSE_MARGIN_SECONDS
    await exchange.caller.send_response(
        head.status, headers, response.body, is_delimited=is_proven
    )
    record_response(state, exchange, head.status)


async def abort_response(
    state: GatewayState, exchange: Exchange, reason: str, detail: str = ''
) -> None:
    """Cut a response that has begun, so that its caller sees that.

    ``reason`` is one of a few, as it labels a counter; ``detail`` is logged.
    """
    state.counters.cut_answers.labels(reason).inc()
    logger.warning(
        'Cut the answer to %s: %s; the caller sees it as unfinished',
        exchange.admitted.attempt_id,
        detail or reason,
    )
    exchange.caller.closing = True
    exchange.caller.gone = True
    await exchange.caller.abort()


def log_response(
    state: GatewayState,
    exchange: Exchange,
    lifetime: Lifetime,
    status: int,
    end: BodyEnd | None,
) -> None:
    """Log a response with its end and the figures behind its latency."""
    admitted = exchange.admitted
    now = state.timers.now()
    logger.info(
        'Request %s of %s: %s from %s, send %s, ended by %s, '
        'first part after %.3f s, '
        'longest pause %.3f s, total %.3f s, '
        '%s prompt tokens, %s requests running there, configuration %s, '
        '%.0f units of workspace %s, identity %s%s',
        admitted.attempt_id,
        admitted.route.name,
        status,
        lifetime,
        exchange.sends.sends,
        end,
        max(0, exchange.timings.first_at - admitted.began_at),
        exchange.timings.longest_pause,
        now - admitted.began_at,
        admitted.prompt_tokens,
        state.loads.running_at(lifetime),
        state.version,
        admitted.units,
        admitted.workspace.name if admitted.workspace else None,
        admitted.identity,
        f', held {exchange.held_seconds:.3f} s'
        if exchange.held_seconds
        else '',
    )


def record_response(
    state: GatewayState, exchange: Exchange, status: int
) -> None:
    """Count a response that starts now and observe its latency."""
    state.counters.answers.labels(status).inc()
    waited = state.timers.now() - exchange.admitted.began_at
    state.counters.first_part.observe(waited)


def count_run(state: GatewayState, admitted: AdmittedRequest) -> None:
    """Count a request that has run, once, for the usage report."""
    if admitted.counted or admitted.workspace is None:
        return
    admitted.counted = True
    state.counters.units_run.labels(admitted.workspace.name).inc(admitted.units)
    began = admitted.began_at
    if admitted.route.kind is RouteKind.STREAM:
        began = state.timers.now()
    state.usage.count(admitted.workspace.name, state.true_time.at(began))
