"""Check that a workspace limit holds, independently of the implementation.

Any interval as long as the window may contain the limit and the platform's
tolerance. A request counts in each interval that contains both the time at
which its caller sent it and the time at which it reached an upstream that ran
it. A request sent before an interval began counts in an earlier one.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """Hold when a request was sent and ran, in seconds, and its units."""

    sent_at: float
    ran_at: float
    units: float


def sums_by_window(
    runs: Iterable[Run],
    window: float,
) -> Iterator[tuple[float, float]]:
    """Yield the end and the units of each interval that ends at a run."""
    inside: list[Run] = []
    total = 0.0
    for run in sorted(runs, key=_ran_at):
        heappush(inside, run)
        total += run.units
        while inside and inside[0].sent_at < run.ran_at - window:
            total -= heappop(inside).units
        yield run.ran_at, total


def max_in_window(runs: Iterable[Run], window: float) -> float:
    """Return the maximum units that were sent and run within one window."""
    return max((units for _, units in sums_by_window(runs, window)), default=0)


def max_excess(
    runs: Iterable[Run],
    window: float,
    allowed: Callable[[float], float],
) -> float:
    """Return the largest excess over what is allowed at an interval's end."""
    sums = sums_by_window(runs, window)
    return max((units - allowed(end) for end, units in sums), default=0)


def _ran_at(run: Run) -> float:
    return run.ran_at
