"""Hold the progress of one admitted request and answer its caller."""

from dataclasses import dataclass, field

from spanfall_core.gateway.configuration import RouteKind
from spanfall_core.gateway.sends import SendEnd, SendState

from spanfall_node.gateway.admission import Work
from spanfall_node.gateway.caller_connection import CallerConnection
from spanfall_node.gateway.client import AnswerHead
from spanfall_node.gateway.event_parts import EventSplitter
from spanfall_node.gateway.forwarded import answer_headers
from spanfall_node.gateway.state import GatewayState


@dataclass(slots=True)
class Answered:
    """Say that the caller has its answer, whole or visibly cut."""


@dataclass(slots=True)
class Failed:
    """Say how a send ended, with the upstream's answer if it came whole."""

    end: SendEnd
    reason: str
    head: AnswerHead | None = None
    body: bytes = b''


@dataclass(slots=True)
class Exchange:
    """Hold the progress of one request."""

    work: Work
    caller: CallerConnection
    sends: SendState = field(default_factory=SendState)
    tried: set[str] = field(default_factory=set)
    events: EventSplitter = field(default_factory=EventSplitter)
    #: Whether the head of the answer has been sent to the caller.
    started: bool = False


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
    began = work.began_at
    if work.route.kind is RouteKind.STREAM:
        began = state.timers.now()
    state.usage.count(work.workspace.name, state.true_time.at(began))
