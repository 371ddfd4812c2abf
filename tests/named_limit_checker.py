"""Check from outside what reaches an upstream that names a limit.

Knows when requests reached it, from which entry, and when each entry had first
passed on an answer that names the limit; nothing of the code.
"""

from collections.abc import Mapping, Sequence

from arrivals import Arrival, arrived_after

#: Seconds of the span that is bounded, and the bound: so many times the limit,
#: and so many requests besides.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
#: Seconds after it passed the answer on from which on an entry is told.
LIMIT_KNOWN_AFTER = 0.5


def allowed(rate: float) -> float:
    """Return the requests that a span may hold."""
    return LIMIT_FACTOR * rate * WINDOW_SECONDS + EXTRA_REQUESTS


def arrivals_after_limit(
    arrivals: Sequence[Arrival],
    passed_on: Mapping[str, float],
) -> list[float]:
    """Return when requests came from entries that had been told."""
    informed = arrived_after(arrivals, passed_on, LIMIT_KNOWN_AFTER)
    return sorted(one.at for one in informed)


def max_in_window(times: Sequence[float], enforced_from: float) -> int:
    """Return the most requests of a span that ends when the limit binds."""
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in times)
            for end in times
            if end >= enforced_from
        ),
        default=0,
    )
