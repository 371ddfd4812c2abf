"""Check what reaches an upstream that names a limit, from outside.

The check uses only the times and entries of the requests that reached the
upstream, and the times at which each entry first passed on an answer that
names the limit. It is independent of the implementation.
"""

from collections.abc import Mapping, Sequence

from arrivals import Arrival, arrived_after

#: Seconds of the interval that is checked, and its bound: the limit times this
#: factor, plus a number of requests.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
#: Seconds after passing on the answer from which an entry must have the limit.
LIMIT_KNOWN_AFTER = 0.5


def allowed(rate: float) -> float:
    """Return the number of requests that one interval may contain."""
    return LIMIT_FACTOR * rate * WINDOW_SECONDS + EXTRA_REQUESTS


def arrivals_after_limit(
    arrivals: Sequence[Arrival],
    passed_on: Mapping[str, float],
) -> list[float]:
    """Return the times of requests from entries that had the limit."""
    informed = arrived_after(arrivals, passed_on, LIMIT_KNOWN_AFTER)
    return sorted(one.at for one in informed)


def max_in_window(times: Sequence[float], enforced_from: float) -> int:
    """Return the maximum requests of an interval under an enforced limit."""
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in times)
            for end in times
            if end >= enforced_from
        ),
        default=0,
    )
