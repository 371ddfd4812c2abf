"""Check the retry budget from outside, by what reached upstreams.

In each window, a service may get as many arrivals beyond the first of each
request as a fraction of the requests for it and a fixed allowance. Requests
count in that window, the one before it or the one half a window before it,
whichever has most.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field


@dataclass(slots=True)
class Seen:
    """Hold when requests were sent and when upstreams got them, in seconds."""

    sent_at: list[float] = field(default_factory=list)
    #: Arrivals beyond the first of each request.
    repeated_at: list[float] = field(default_factory=list)
    _arrived: set[str] = field(default_factory=set)

    def arrive(self, attempt: str, now: float) -> None:
        """Record that a request reached an upstream."""
        if attempt in self._arrived:
            self.repeated_at.append(now)
        self._arrived.add(attempt)


def count_within(times: list[float], first: float, last: float) -> int:
    """Return how many of the sorted times lie in an interval."""
    return bisect_right(times, last) - bisect_left(times, first)


def worst_use(seen, limits):
    """Return the largest part of what is allowed that a window holds."""
    sent, repeated = sorted(seen.sent_at), sorted(seen.repeated_at)
    window = limits.window
    worst = 0
    for first in (*repeated, *(at - window for at in repeated)):
        requests = max(
            count_within(sent, first - before, first - before + window)
            for before in (0, window / 2, window)
        )
        allowed = requests * limits.ratio + limits.allowance
        retries = count_within(repeated, first, first + window)
        worst = max(worst, retries / allowed)
    return worst
