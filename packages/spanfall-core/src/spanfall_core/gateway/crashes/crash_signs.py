"""Settle suspected crashes of upstreams by the platform's list of upstreams.

The platform keeps a row for a few heartbeats after its upstream ended. A row
that is still listed after that time proves that its upstream is alive. A row
that was removed, or whose address now belongs to another lifetime, proves
that its upstream has ended.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from spanfall_core.gateway.crashes.judgement import SuspectedCrash
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Missed heartbeats after which the platform removes a row.
MISSED_HEARTBEATS = 3
#: Additional seconds until every node has the new list: the store is read
#: every 0.6 s, one read may be late, and the home then sends its next table.
LISTING_DELAY_SECONDS = 2.0
#: Seconds after which a suspected crash is dismissed when no list arrives.
MAX_SUSPECTED_SECONDS = 60.0


def max_listing_delay(heartbeat: float) -> float:
    """Return the seconds until the row of an ended upstream is removed."""
    return MISSED_HEARTBEATS * heartbeat + LISTING_DELAY_SECONDS


@dataclass(frozen=True, slots=True)
class SettledCrashes:
    """Hold which suspected upstreams have ended and which are alive."""

    ended: tuple[Lifetime, ...] = ()
    alive: tuple[Lifetime, ...] = ()


def settle(
    suspected_crashes: Mapping[Lifetime, SuspectedCrash],
    directory: Directory,
    heartbeat: float,
    now: float,
) -> SettledCrashes:
    """Decide by the list which suspected upstreams have ended or are alive.

    ``heartbeat`` is the interval, in seconds, at which an upstream renews its
    row.
    """
    ended = [
        lifetime
        for lifetime, suspected in suspected_crashes.items()
        if _has_ended(lifetime, suspected, directory)
    ]
    listing_delay = max_listing_delay(heartbeat)
    alive = [
        lifetime
        for lifetime in suspected_crashes.keys() - set(ended)
        if _is_alive(
            lifetime, suspected_crashes[lifetime], directory, listing_delay, now
        )
    ]
    return SettledCrashes(tuple(ended), tuple(alive))


def _has_ended(
    lifetime: Lifetime,
    suspected: SuspectedCrash,
    directory: Directory,
) -> bool:
    """Return whether a row was removed or its address was taken over.

    A missing row proves nothing if the list is older than the suspicion: the
    row may not have been written by then.
    """
    row = directory.rows.get(lifetime)
    if row is None:
        return directory.confirmed_at > suspected.since
    return directory.is_replaced(row)


def _is_alive(
    lifetime: Lifetime,
    suspected: SuspectedCrash,
    directory: Directory,
    listing_delay: float,
    now: float,
) -> bool:
    """Return whether an upstream is alive, or was suspected for too long.

    A row proves this if it began to leave or outlasted the listing delay.
    """
    row = directory.rows.get(lifetime)
    is_listed = directory.confirmed_at - suspected.since >= listing_delay
    if row is not None and (row.is_leaving or is_listed and row.is_serving):
        return True
    return now - suspected.since >= MAX_SUSPECTED_SECONDS
