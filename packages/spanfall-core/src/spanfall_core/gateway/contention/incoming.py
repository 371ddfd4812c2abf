"""Sum up the work that the workspaces of a level will bring.

All times are in seconds, work in units, rates in units per second.
"""

from collections.abc import Iterable, Sequence
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


#: Rate and limit of what some workspaces bring: the units of it that are served
#: in the time that is looked at.
Inflow = tuple[float, float]


@dataclass(slots=True)
class _Bin:
    """Sum up workspaces that bring, and have waiting, about as much."""

    key: BinKey
    rate: float = 0
    weight: float = 0
    waiting: float = 0

    def add(self, source: Source) -> None:
        self.rate += source.rate
        self.weight += source.weight
        self.waiting += source.waiting


@dataclass(slots=True)
class IncomingWork:
    """Hold the sums over the workspaces of one level."""

    _computed_at: float = -inf
    _bins: dict[BinKey, _Bin] = field(default_factory=dict)
    #: What each workspace adds to its bin.
    _sources: dict[str, tuple[BinKey, Source]] = field(default_factory=dict)

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
                key = _key(source)
                self._sources[source.workspace] = (key, source)
                self._bins.setdefault(key, _Bin(key)).add(source)

    def beside(self, workspace: str, progress: float) -> list[Inflow]:
        """Return what others bring while each gets that much per weight.

        What they have waiting is served first, and is no part of it.
        """
        own_key, own = self._sources.get(workspace, (None, None))
        inflows = []
        for one in self._bins.values():
            rate, limit = one.rate, progress * one.weight - one.waiting
            if own is not None and one.key == own_key:
                rate -= own.rate
                limit -= progress * own.weight - own.waiting
            if limit > 0:
                inflows.append((rate, limit))
        return inflows


def seconds_to_serve(
    work: float, inflows: Sequence[Inflow], rate: float
) -> float:
    """Return the seconds until work is served, and what comes beside it."""
    if not work:
        return 0
    if rate <= 0:
        return inf
    if not inflows:
        return work / rate
    total = work + sum(limit for _, limit in inflows)
    seconds = total / rate
    rising = inflows
    for _ in range(MAX_STEPS):
        left = []
        for inflow in rising:
            if inflow[0] * seconds >= inflow[1]:
                left.append(inflow)
            else:
                # It brings less in that time than what could be served of it.
                rate -= inflow[0]
                total -= inflow[1]
        if len(left) == len(rising):
            break
        rising = left
        seconds = total / rate
    return seconds


def _key(source: Source) -> BinKey:
    weight = source.weight
    return frexp(source.rate / weight)[1], frexp(source.waiting / weight)[1]
