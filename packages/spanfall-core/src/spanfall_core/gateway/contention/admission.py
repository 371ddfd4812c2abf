"""Decide whether a request is sent, held or rejected.

While a service has room for all requests, each is sent at once. Otherwise a
request is held if it can be expected to make its deadline, and rejected at its
first ask if not. All times are in seconds.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from spanfall_core.gateway.contention.held import HeldQueue, HeldRequest
from spanfall_core.gateway.contention.prediction import (
    RETURN_SHARE,
    Prediction,
    WorkspaceShare,
    backlog_seconds,
    find_shares,
    find_workspace_share,
    predict,
)
from spanfall_core.gateway.contention.returns import (
    Backlog,
    ReturnPlan,
    latest_return,
)
from spanfall_core.gateway.contention.review import Review
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.slack import Rank
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker

#: Minimum seconds after which an entry asks again by itself.
MIN_HOLD_SECONDS = 0.25
#: Multiple of the predicted wait after which an entry asks again: by then the
#: prediction was wrong.
HOLD_FACTOR = 2.0


@unique
class RejectReason(StrEnum):
    """State why a request is rejected."""

    DEADLINE = 'deadline'
    EARLY_RETURN = 'early-return'
    QUEUE_FULL = 'queue-full'


@dataclass(frozen=True, slots=True)
class Send:
    """Let the request be sent now."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Let the request wait for its turn.

    If it is told of none within so many seconds, its entry asks again.
    """

    ticket: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Let the request be answered at once as not run."""

    retry_after: float
    reason: RejectReason


Decision = Send | Hold | Reject


@dataclass(slots=True)
class Contention:
    """Hold the state of one service."""

    queue: HeldQueue = field(default_factory=HeldQueue)
    returns: ReturnPlan = field(default_factory=ReturnPlan)
    review: Review = field(default_factory=Review)


def decide(
    asker: Asker,
    terms: AdmissionTerms,
    room: ServiceRoom,
    contention: Contention,
    now: float,
) -> Decision:
    """Decide on one ask of an entry."""
    ask = _Ask(asker, terms, room, contention, now)
    queue = contention.queue
    queue.least_run = room.least_run
    queue.free_lapsed(now)
    if queue.take(asker, terms.ticket, now):
        return Send()
    if has_room(room, queue) and not queue:
        queue.record_arrival(terms, now)
        contention.returns.settle(asker.identity)
        return Send()
    held = queue.find(asker, terms.ticket)
    if held is None:
        return _decide_first(ask)
    held = queue.bring_forward(held, terms, now)
    prediction = predict(
        queue,
        terms,
        room,
        now,
        queue.position(held.ticket),
        contention.review.arrivals_since(queue, held, now),
    )
    return _send_or_hold(ask, held, prediction)


def has_room(room: ServiceRoom, queue: HeldQueue) -> bool:
    """Return whether one more request may be sent."""
    return room.free > queue.given


def give_turn(
    room: ServiceRoom,
    queue: HeldQueue,
    now: float,
) -> HeldRequest | None:
    """Give the next turn if there is room; return who gets it, if any."""
    queue.least_run = room.least_run
    queue.free_lapsed(now)
    return queue.next_turn(now) if has_room(room, queue) else None


@dataclass(frozen=True, slots=True)
class _Ask:
    """Hold what one decision rests on."""

    asker: Asker
    terms: AdmissionTerms
    room: ServiceRoom
    contention: Contention
    now: float

    @property
    def longest_hold(self) -> float:
        """Return the seconds after which a run could not end in time."""
        return self.terms.deadline_in - self.room.least_run

    def is_too_late(self, prediction: Prediction) -> bool:
        """Return whether the request is known to miss its deadline."""
        return prediction.start >= self.longest_hold


def _decide_first(ask: _Ask) -> Decision:
    """Decide on a request that is not held."""
    queue, returns = ask.contention.queue, ask.contention.returns
    terms, identity, now = ask.terms, ask.asker.identity, ask.now
    early = returns.seconds_early(identity, now)
    if early and terms.has_own_identity and not terms.waited:
        return Reject(early, RejectReason.EARLY_RETURN)
    if queue.is_full(terms.workspace):
        return _reject(ask, RejectReason.QUEUE_FULL)
    is_expected = returns.is_expected(identity, now)
    rank = Rank.RETURNING if is_expected else Rank.ON_TIME
    position = queue.next_position(terms, now, rank)
    prediction = predict(queue, terms, ask.room, now, position)
    if prediction.could_be_on_time:
        queue.record_arrival(terms, now)
    if ask.is_too_late(prediction) and not has_room(ask.room, queue):
        return _reject(ask, RejectReason.DEADLINE)
    held = queue.hold(ask.asker, terms, now, prediction.rank)
    decision = _send_or_hold(ask, held, prediction)
    if not isinstance(decision, Reject):
        returns.settle(identity)
    return decision


def _send_or_hold(
    ask: _Ask,
    held: HeldRequest,
    prediction: Prediction,
) -> Decision:
    """Decide on a held request, which is removed unless it waits on."""
    queue, now = ask.contention.queue, ask.now
    if has_room(ask.room, queue) and queue.peek(now) is held:
        queue.serve(held)
        return Send()
    if ask.is_too_late(prediction):
        queue.withdraw(held.asker, held.ticket)
        return _reject(ask, RejectReason.DEADLINE)
    seconds = max(MIN_HOLD_SECONDS, HOLD_FACTOR * prediction.start)
    return Hold(held.ticket, min(ask.longest_hold, seconds))


def _reject(ask: _Ask, reason: RejectReason) -> Reject:
    """Reject a request and plan when it comes back."""
    terms, room, now = ask.terms, ask.room, ask.now
    queue = ask.contention.queue
    shares = find_shares(queue, terms, room, now)
    workspace = find_workspace_share(*queue.find_flow(terms), shares, now)
    backlog = Backlog(
        terms.workspace,
        terms.priority,
        backlog_seconds(queue, terms, room, shares, now),
        _return_rate(workspace),
    )
    retry_after = ask.contention.returns.plan(
        ask.asker.identity,
        backlog,
        terms.units,
        latest_return(terms.deadline_in, room.least_run),
        now,
    )
    return Reject(retry_after, reason)


def _return_rate(workspace: WorkspaceShare) -> float:
    """Return the units per second that returns of a workspace can expect.

    While the rate of the service is unknown, they are spread as its requests
    have arrived.
    """
    if not workspace.rate:
        return workspace.arrivals
    spare = workspace.rate - workspace.arrivals
    return max(spare, workspace.rate * RETURN_SHARE)
