"""Check from outside what reaches an upstream that names a limit.

Knows when requests reached it, from which entry, and when each entry had first
passed on an answer that names the limit; nothing of the code.
"""

from collections.abc import Mapping, Sequence

from arrivals import Arrival, arrived_after

#: Seconds of the span that is bounded, and the bound: so many times the limit,
#: and so many requests besides.
SPAN = 4.0
TIMES = 1.5
BESIDES = 5
#: Seconds after it passed the answer on from which on an entry is told.
TOLD_AFTER = 0.5


def allowed(rate: float) -> float:
    """Return the requests that a span may hold."""
    return TIMES * rate * SPAN + BESIDES


def arrived_from_told(
    arrivals: Sequence[Arrival],
    passed_on: Mapping[str, float],
) -> list[float]:
    """Return when requests came from entries that had been told."""
    told = arrived_after(arrivals, passed_on, TOLD_AFTER)
    return sorted(one.at for one in told)


def most_in_a_span(times: Sequence[float], binds_from: float) -> int:
    """Return the most requests of a span that ends when the limit binds."""
    return max(
        (
            sum(end - SPAN < at <= end for at in times)
            for end in times
            if end >= binds_from
        ),
        default=0,
    )
