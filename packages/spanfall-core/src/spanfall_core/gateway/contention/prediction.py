"""Predict when a request that has to wait would be sent.

All times are in seconds, work in units, rates in units per second.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from spanfall_core.gateway.contention.held import HeldQueue
from spanfall_core.gateway.contention.incoming import Inflow, seconds_to_serve
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
#: Seconds of work, at the rate of its level, for which the share of a workspace
#: is computed: longer than what most workspaces have waiting.
SHARE_SECONDS = 1.0


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
    #: What these bring meanwhile.
    inflows: Sequence[Inflow] = ()


@dataclass(frozen=True, slots=True)
class Shares:
    """State the rates that a request can count on."""

    #: Rate that more urgent requests leave to its level.
    level: float
    #: Rate that its level gets in any case.
    least: float


@dataclass(frozen=True, slots=True)
class WorkspaceShare:
    """State the rates that one workspace can count on at its level."""

    #: Rate that it gets by weight.
    rate: float
    #: Rate of its new requests that could be on time.
    arrivals: float


def predict(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    now: float,
    position: Position,
    arrivals_since: float = inf,
) -> Prediction:
    """Predict when a request would be sent.

    A request that cannot meet its target waits behind those of its workspace
    that can, also behind those still to come: at the rate at which they arrive,
    or have arrived since the request was held if that is less. While the rate
    is unknown, nothing speaks against a request.
    """
    rank = position[0]
    if not room.work_rate:
        return Prediction(room.opens_in, rank)
    shares = find_shares(queue, terms, room, now)
    ahead = find_ahead(queue, terms, position, now)
    start = _start(ahead, shares, terms, room)
    if rank is Rank.RETURNING:
        return Prediction(start, rank, could_be_on_time=False)
    latest = terms.target_in * ON_TIME_FRACTION - room.least_run
    if not terms.ticket:
        # Requests that come back meanwhile go ahead.
        latest *= 1 - RETURN_SHARE
    if rank is Rank.ON_TIME and start <= latest:
        return Prediction(start, rank)
    alone = ahead
    if ahead.own:
        level, flow = queue.find_flow(terms)
        alone = _beside(level, flow, ahead.urgent, 0, now)
    could_be_on_time = _start(alone, shares, terms, room) <= latest
    late = position
    if rank is not Rank.LATE:
        late = (Rank.LATE, now + terms.deadline_in, position[-1])
    ahead = find_ahead(queue, terms, late, now)
    start = _start(ahead, shares, terms, room)
    if ahead.own:
        share = find_workspace_share(queue, terms, shares, now)
        spare = share.rate - min(share.arrivals, arrivals_since)
        start = max(start, seconds_to_serve(ahead.own, (), spare))
    return Prediction(start, Rank.LATE, could_be_on_time)


def backlog_seconds(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    shares: Shares,
    now: float,
) -> float:
    """Return the seconds until all that precedes a late request is sent."""
    if not room.work_rate:
        return max(UNKNOWN_BACKLOG_SECONDS, room.opens_in)
    last = (Rank.LATE, inf, 0)
    ahead = find_ahead(queue, terms, last, now)
    return _start(ahead, shares, terms, room)


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
    return Shares(level_rate, least)


def find_workspace_share(
    queue: HeldQueue, terms: AdmissionTerms, shares: Shares, now: float
) -> WorkspaceShare:
    """Return the rate that a workspace with work for a second gets."""
    level, flow = queue.find_flow(terms)
    rate = max(shares.level, shares.least)
    work = rate * SHARE_SECONDS
    if not work:
        return WorkspaceShare(0, flow.arrivals.per_second(now))
    progress = work / flow.weight
    beside = level.served_beside(flow, progress)
    inflows = level.incoming_beside(flow, progress, now)
    share = work / seconds_to_serve(work + beside, inflows, rate)
    return WorkspaceShare(share, flow.arrivals.per_second(now))


def find_ahead(
    queue: HeldQueue,
    terms: AdmissionTerms,
    position: Position,
    now: float,
) -> Ahead:
    """Return the work that precedes a position."""
    level, flow = queue.find_flow(terms)
    own = flow.order.before(position)
    urgent = sum(
        queue.order.levels[priority].backlog.units
        for priority in queue.order.waiting
        if priority < terms.priority
    )
    return _beside(level, flow, urgent, own, now)


def _beside(
    level: Level, flow: Flow, urgent: float, own: float, now: float
) -> Ahead:
    """Return the work that is served before that much own work."""
    lag = max(0, flow.virtual_time - level.virtual_time)
    progress = own / flow.weight + lag
    return Ahead(
        urgent,
        own,
        level.served_beside(flow, progress) if progress else 0,
        level.incoming_beside(flow, progress, now),
    )


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
    seconds = seconds_to_serve(
        ahead.urgent + at_level, ahead.inflows, shares.level
    )
    if ahead.urgent or shares.level < shares.least:
        by_share = seconds_to_serve(
            at_level + terms.units, ahead.inflows, shares.least
        )
        seconds = min(seconds, by_share)
    return room.opens_in + seconds + room.least_run / max(1, room.busy)
