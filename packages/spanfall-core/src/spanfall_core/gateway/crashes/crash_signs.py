"""Tell from the platform's list whether upstreams that are doubted have ended.

An entry of the list outlives its upstream by some heartbeats. So one that is
still there after these was written by an upstream that lives; one that went,
or whose address another lifetime has, is the sign of an end.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from spanfall_core.gateway.crashes.crashes import Doubt
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Heartbeats without which the platform removes an entry.
MISSED_HEARTBEATS = 3
#: Seconds besides until a node knows: a read of the store every 0.6 s, one
#: that is late, and the home's next table.
LISTING_SECONDS = 2.0
#: Seconds after which a doubt ends though no listing was to be had.
LONGEST_DOUBT = 60.0


def listed_seconds(heartbeat: float) -> float:
    """Return the seconds after which the entry of an upstream is gone."""
    return MISSED_HEARTBEATS * heartbeat + LISTING_SECONDS


@dataclass(frozen=True, slots=True)
class Settled:
    """Hold which of the upstreams that were doubted ended, and which live."""

    ended: tuple[Lifetime, ...] = ()
    living: tuple[Lifetime, ...] = ()


def settle(
    doubts: Mapping[Lifetime, Doubt],
    directory: Directory,
    heartbeat: float,
    now: float,
) -> Settled:
    """Return what the list tells of upstreams that are doubted.

    ``heartbeat`` are the seconds after which each writes its entry again.
    """
    ended = [
        lifetime
        for lifetime, doubt in doubts.items()
        if _has_ended(lifetime, doubt, directory)
    ]
    patience = listed_seconds(heartbeat)
    living = [
        lifetime
        for lifetime in doubts.keys() - set(ended)
        if _lives(lifetime, doubts[lifetime], directory, patience, now)
    ]
    return Settled(tuple(ended), tuple(living))


def _has_ended(
    lifetime: Lifetime,
    doubt: Doubt,
    directory: Directory,
) -> bool:
    """Tell whether an entry went, or another lifetime has its address.

    A list that is older than the doubt may not hold the entry yet.
    """
    row = directory.rows.get(lifetime)
    if row is None:
        return directory.confirmed_at > doubt.since
    return directory.is_replaced(row)


def _lives(
    lifetime: Lifetime,
    doubt: Doubt,
    directory: Directory,
    patience: float,
    now: float,
) -> bool:
    """Tell whether an entry outlived a doubt, or began to leave in it."""
    row = directory.rows.get(lifetime)
    is_listed = directory.confirmed_at - doubt.since >= patience
    if row is not None and (row.is_leaving or is_listed and row.is_serving):
        return True
    return now - doubt.since >= LONGEST_DOUBT
