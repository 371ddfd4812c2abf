"""Check the promise of a limit from outside, knowing nothing of the code.

A span of one window may hold the limit and what the platform tolerates. A
request counts in each span that holds both the moment at which its caller
sent it and the moment at which it reached an upstream that ran it; whatever
was sent before a span began counts in an earlier one.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from heapq import heappop, heappush


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """State when a request was sent and ran, in seconds, and its units."""

    sent_at: float
    ran_at: float
    units: float


def sums_by_window(
    runs: Iterable[Run],
    window: float,
) -> Iterator[tuple[float, float]]:
    """Yield the end of each span that ends at a run, and its units."""
    inside: list[Run] = []
    total = 0.0
    for run in sorted(runs, key=_ran_at):
        heappush(inside, run)
        total += run.units
        while inside and inside[0].sent_at < run.ran_at - window:
            total -= heappop(inside).units
        yield run.ran_at, total


def max_in_window(runs: Iterable[Run], window: float) -> float:
    """Return the most units that were both sent and run within a window."""
    return max((units for _, units in sums_by_window(runs, window)), default=0)


def max_excess(
    runs: Iterable[Run],
    window: float,
    allowed: Callable[[float], float],
) -> float:
    """Return by how much a span passes what is allowed at its end."""
    sums = sums_by_window(runs, window)
    return max((units - allowed(end) for end, units in sums), default=0)


def _ran_at(run: Run) -> float:
    return run.ran_at
