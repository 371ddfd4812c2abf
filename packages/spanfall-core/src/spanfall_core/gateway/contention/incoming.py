"""Sum up the work that the workspaces of a level will bring.

All times are in seconds, work in units, rates in units per second.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import frexp, inf
from typing import NamedTuple

#: Seconds after which the sums are computed again: a small part of the time
#: over which arrivals are averaged.
REFRESH_SECONDS = 0.1
#: Maximum steps of the search for when work is served; each one ends at a later
#: time than the work does.
MAX_STEPS = 6


class Source(NamedTuple):
    """State what one workspace of a level brings and has waiting."""

    workspace: str
    rate: float
    weight: float
    #: Units that wait.
    waiting: float


#: Binary exponents of the rate and of the waiting work, per weight.
BinKey = tuple[int, int]


@dataclass(slots=True)
class _Bin:
    """Sum up workspaces that bring, and have waiting, about as much."""

    rate: float = 0
    weight: float = 0
    waiting: float = 0

    def add(self, source: Source, sign: int = 1) -> None:
        self.rate += sign * source.rate
        self.weight += sign * source.weight
        self.waiting += sign * source.waiting


class Inflow(NamedTuple):
    """State what some workspaces bring."""

    rate: float
    #: Units of it that are served in the time that is looked at.
    limit: float


@dataclass(slots=True)
class IncomingWork:
    """Hold the sums over the workspaces of one level."""

    _computed_at: float = -inf
    _bins: dict[BinKey, _Bin] = field(default_factory=dict)
    _sources: dict[str, Source] = field(default_factory=dict)

    def is_due(self, now: float) -> bool:
        """Return whether the sums are to be computed again."""
        return not 0 <= now - self._computed_at < REFRESH_SECONDS

    def refresh(self, sources: Iterable[Source], now: float) -> None:
        """Compute the sums of those workspaces that bring work."""
        self._computed_at = now
        self._bins = {}
        self._sources = {}
        for source in sources:
            if source.rate > 0:
                self._sources[source.workspace] = source
                self._bins.setdefault(_key(source), _Bin()).add(source)

    def beside(self, workspace: str, progress: float) -> list[Inflow]:
        """Return what others bring while each gets that much per weight.

        What they have waiting is served first, and is no part of it.
        """
        if progress <= 0:
            return []
        own = self._sources.get(workspace)
        own_key = None if own is None else _key(own)
        inflows = []
        for key, one in self._bins.items():
            if own is not None and key == own_key:
                one = _Bin(one.rate, one.weight, one.waiting)
                one.add(own, -1)
            limit = progress * one.weight - one.waiting
            if limit > 0:
                inflows.append(Inflow(one.rate, limit))
        return inflows


def seconds_to_serve(
    work: float, inflows: Iterable[Inflow], rate: float
) -> float:
    """Return the seconds until work is served, and what comes beside it."""
    if not work:
        return 0
    if rate <= 0:
        return inf
    rising = tuple(inflows)
    total = work + sum(one.limit for one in rising)
    left = rate
    seconds = total / left
    for _ in range(MAX_STEPS):
        # These bring less in that time than what could be served of it.
        slower = [one for one in rising if one.rate * seconds < one.limit]
        if not slower:
            break
        rising = tuple(one for one in rising if one.rate * seconds >= one.limit)
        total -= sum(one.limit for one in slower)
        left -= sum(one.rate for one in slower)
        seconds = total / left
    return seconds


def _key(source: Source) -> BinKey:
    weight = source.weight
    return frexp(source.rate / weight)[1], frexp(source.waiting / weight)[1]
