"""Predict when a request that has to wait would be sent.

All times are in seconds, work in units, rates in units per second.
"""

from dataclasses import dataclass
from math import inf

from spanfall_core.gateway.contention.held import HeldQueue
from spanfall_core.gateway.contention.levels import Flow, Level
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.slack import Position, Rank
from spanfall_core.gateway.contention.turns import LEAST_SHARE
from spanfall_core.gateway.contention.waiting import AdmissionTerms

#: Fraction of the seconds left to its target within which a request has to
#: have run to count as on time. The rest covers the wait at its upstream.
ON_TIME_FRACTION = 0.75
#: Fraction of a workspace's share that is kept for requests that were told
#: when to come back, so that each of them is told a time.
RETURN_SHARE = 0.1
#: Seconds after which to ask again while the rate of a service is unknown.
UNKNOWN_BACKLOG_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Prediction:
    """State when a request would be sent."""

    #: Seconds until then; infinite if other requests always precede it.
    start: float
    rank: Rank
    #: Whether it would be on time if nothing of its workspace waited.
    could_be_on_time: bool = True


@dataclass(frozen=True, slots=True)
class Ahead:
    """State the work that precedes a request."""

    #: Work of more urgent levels.
    urgent: float
    #: Work of its own workspace.
    own: float
    #: Work of other workspaces at its level, by their weight.
    others: float


@dataclass(frozen=True, slots=True)
class Shares:
    """State the rates that a request can count on."""

    #: Rate that more urgent requests leave to its level.
    level: float
    #: Rate that its level gets in any case.
    least: float
    #: Rate that its workspace gets by weight.
    workspace: float
    #: Rate of its workspace that requests on time leave.
    spare: float


def predict(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    now: float,
    position: Position,
) -> Prediction:
    """Predict when a request would be sent.

    A request that cannot meet its target waits behind those of its workspace
    that can, also behind those still to come. While the rate is unknown,
    nothing speaks against a request.
    """
    rank = position[0]
    if not room.work_rate:
        return Prediction(0, rank)
    shares = find_shares(queue, terms, room, now)
    ahead = find_ahead(queue, terms, position)
    start = _start(ahead, shares, terms, room)
    if rank is Rank.RETURNING:
        return Prediction(start, rank, could_be_on_time=False)
    latest = terms.target_in * ON_TIME_FRACTION - room.least_run
    # Requests that come back meanwhile go ahead.
    latest *= 1 - RETURN_SHARE
    if rank is Rank.ON_TIME and start <= latest:
        return Prediction(start, rank)
    alone = _start(_alone(queue, terms, ahead), shares, terms, room)
    late = position
    if rank is not Rank.LATE:
        late = (Rank.LATE, now + terms.deadline_in, position[-1])
    ahead = find_ahead(queue, terms, late)
    start = _start(ahead, shares, terms, room)
    start = max(start, _seconds(ahead.own, shares.spare))
    return Prediction(start, Rank.LATE, alone <= latest)


def backlog_seconds(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    shares: Shares,
) -> float:
    """Return the seconds until all that precedes a late request is sent."""
    if not room.work_rate:
        return UNKNOWN_BACKLOG_SECONDS
    last = (Rank.LATE, inf, 0)
    return _start(find_ahead(queue, terms, last), shares, terms, room)


def find_shares(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    now: float,
) -> Shares:
    """Return the rates that a request can count on."""
    level, flow = queue.find_flow(terms)
    order = queue.order
    urgent = sum(
        row.arrivals.per_second(now)
        for priority, row in order.levels.items()
        if priority < terms.priority
    )
    least = room.work_rate * LEAST_SHARE / max(1, len(order.waiting))
    level_rate = max(0, room.work_rate - urgent)
    weights = level.backlog.weights
    if not flow.is_waiting:
        weights += flow.weight
    workspace_rate = max(level_rate, least) * flow.weight / weights
    spare = workspace_rate - flow.arrivals.per_second(now)
    return Shares(level_rate, least, workspace_rate, spare)


def find_ahead(
    queue: HeldQueue,
    terms: AdmissionTerms,
    position: Position,
) -> Ahead:
    """Return the work that precedes a position."""
    level, flow = queue.find_flow(terms)
    own = flow.order.before(position)
    urgent = sum(
        queue.order.levels[priority].backlog.units
        for priority in queue.order.waiting
        if priority < terms.priority
    )
    return Ahead(urgent, own, _served_beside(level, flow, own))


def _alone(queue: HeldQueue, terms: AdmissionTerms, ahead: Ahead) -> Ahead:
    """Return the work ahead without that of the own workspace."""
    level, flow = queue.find_flow(terms)
    return Ahead(ahead.urgent, 0, _served_beside(level, flow, 0))


def _served_beside(level: Level, flow: Flow, own: float) -> float:
    """Return the work of others that is served before that much own work."""
    lag = max(0, flow.virtual_time - level.virtual_time)
    progress = own / flow.weight + lag
    if not progress:
        return 0
    beside = level.backlog.served_beside(progress)
    return max(0, beside - min(flow.units, progress * flow.weight))


def _start(
    ahead: Ahead,
    shares: Shares,
    terms: AdmissionTerms,
    room: ServiceRoom,
) -> float:
    """Return the seconds until the work ahead is served.

    A level is served in its order, or by the share that it gets in any case.
    """
    at_level = ahead.own + ahead.others
    in_order = _seconds(ahead.urgent + at_level, shares.level)
    by_share = _seconds(at_level + terms.units, shares.least)
    first_place = room.least_run / max(1, room.busy)
    return first_place + min(in_order, by_share)


def _seconds(work: float, rate: float) -> float:
    if not work:
        return 0
    return work / rate if rate > 0 else inf
