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
    #: Work of more urgent requests that waits.
    urgent_work: float


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
    level, flow = queue.find_flow(terms)
    own = flow.order.before(position)
    start = _start(_find_ahead(level, flow, own, now), shares, terms, room)
    if rank is Rank.RETURNING:
        return Prediction(start, rank, could_be_on_time=False)
    latest = terms.target_in * ON_TIME_FRACTION - room.least_run
    if not terms.ticket:
        # Requests that come back meanwhile go ahead.
        latest *= 1 - RETURN_SHARE
    if rank is Rank.ON_TIME and start <= latest:
        return Prediction(start, rank)
    alone = start
    if own:
        alone = _start(_find_ahead(level, flow, 0, now), shares, terms, room)
    if rank is not Rank.LATE:
        late = (Rank.LATE, now + terms.deadline_in, position[-1])
        own = flow.order.before(late, position)
    start = 0
    if own:
        share = find_workspace_share(level, flow, shares, now)
        spare = share.rate - min(share.arrivals, arrivals_since)
        start = seconds_to_serve(own, (), spare)
    if start < inf:
        ahead = _find_ahead(level, flow, own, now)
        start = max(start, _start(ahead, shares, terms, room))
    return Prediction(start, Rank.LATE, alone <= latest)


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
    level, flow = queue.find_flow(terms)
    ahead = _find_ahead(level, flow, flow.units, now)
    return _start(ahead, shares, terms, room)


def find_shares(
    queue: HeldQueue,
    terms: AdmissionTerms,
    room: ServiceRoom,
    now: float,
) -> Shares:
    """Return the rates that a request can count on."""
    order = queue.order
    urgent_rate, urgent_work = 0.0, 0.0
    for priority, level in order.levels.items():
        if priority < terms.priority:
            urgent_rate += level.arrivals.per_second(now)
            urgent_work += level.backlog.units
    least = room.work_rate * LEAST_SHARE / max(1, len(order.waiting))
    return Shares(max(0, room.work_rate - urgent_rate), least, urgent_work)


def find_workspace_share(
    level: Level, flow: Flow, shares: Shares, now: float
) -> WorkspaceShare:
    """Return the rate that a workspace with work for a second gets."""
    arrivals = flow.arrivals.per_second(now)
    rate = max(shares.level, shares.least)
    work = rate * SHARE_SECONDS
    if not work:
        return WorkspaceShare(0, arrivals)
    progress = work / flow.weight
    beside = level.served_beside(flow, progress)
    inflows = level.incoming_beside(flow, progress, now)
    seconds = seconds_to_serve(work + beside, inflows, rate)
    return WorkspaceShare(work / seconds, arrivals)


def _find_ahead(level: Level, flow: Flow, own: float, now: float) -> Ahead:
    """Return the work at its level that is served before that much own work."""
    lag = max(0, flow.virtual_time - level.virtual_time)
    progress = own / flow.weight + lag
    if not progress:
        return Ahead(own, 0)
    return Ahead(
        own,
        level.served_beside(flow, progress),
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
    urgent = shares.urgent_work
    seconds = seconds_to_serve(urgent + at_level, ahead.inflows, shares.level)
    if urgent or shares.level < shares.least:
        by_share = seconds_to_serve(
            at_level + terms.units, ahead.inflows, shares.least
        )
        seconds = min(seconds, by_share)
    return room.opens_in + seconds + room.least_run / max(1, room.busy)
