"""Select the few upstreams of a large service that are worth an estimate.

Estimating every upstream takes the home a time that grows with their number.
The part of the cost that does not depend on the single request changes little
between two choices. It is cached for all upstreams and adjusted after each
choice. Only those with the least cached cost, near the position of the prompt
or among the upstreams that have read its parts, get a full estimate.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from itertools import chain, islice
from typing import Generic, TypeVar

from spanfall_core.gateway.known.lifetimes import Lifetime

Row = TypeVar('Row')

#: Number of upstreams up to which all of them are estimated.
FULL_SEARCH_LIMIT = 32
#: Upstreams compared near the position of a prompt, upstreams compared that are
#: spread over the whole row, and the best of both that get a full estimate.
NEARBY_COMPARED = 64
SPREAD_COMPARED = 48
NEARBY_ESTIMATED = 8
#: Holders compared for each part of the prompt, the best of them that get a
#: full estimate, and the number of last parts considered that have holders.
HOLDERS_COMPARED = 24
HOLDERS_ESTIMATED = 4
PARTS_CONSIDERED = 2
#: Seconds, and choices per upstream, after which the cached costs are
#: recomputed.
MAX_AGE_SECONDS = 0.25
MAX_CHOICES_PER_UPSTREAM = 0.5

#: Return the cost in seconds of a short and a long prompt at an upstream.
LoadWeight = Callable[[Lifetime, Row], tuple[float, float]]


@dataclass(slots=True)
class Shortlist(Generic[Row]):
    """Cache the request-independent costs of the upstreams of one service."""

    rows: Sequence[Row] = ()
    #: Positions of the rows on a hash ring that all nodes share.
    digests: Sequence[int] = ()
    #: Indices of the rows by lifetime.
    index_by_lifetime: Mapping[Lifetime, int] = field(default_factory=dict)
    #: Cost in seconds of a short and a long prompt at each upstream.
    _short: list[float] = field(default_factory=list)
    _long: list[float] = field(default_factory=list)
    _refreshed_at: float = float('-inf')
    _choices: int = 0

    def preferred(self, digest: int) -> int:
        """Return the index of the row that follows a digest on the ring."""
        return bisect_left(self.digests, digest) % len(self.rows)

    def is_stale(self, now: float) -> bool:
        """Return whether the cached costs have to be recomputed."""
        is_exhausted = self._choices > len(self.rows) * MAX_CHOICES_PER_UPSTREAM
        return is_exhausted or now - self._refreshed_at > MAX_AGE_SECONDS

    def refresh(self, weigh: LoadWeight[Row], now: float) -> None:
        """Recompute the cached costs of each upstream."""
        named = zip(self.index_by_lifetime, self.rows, strict=True)
        weights = [weigh(lifetime, row) for lifetime, row in named]
        self._short = [short for short, _ in weights]
        self._long = [long for _, long in weights]
        self._refreshed_at = now
        self._choices = 0

    def record_choice(self, lifetime: Lifetime, seconds: float) -> None:
        """Add the cost of a newly chosen request to its upstream."""
        self._choices += 1
        index = self.index_by_lifetime[lifetime]
        self._short[index] += seconds
        self._long[index] += seconds

    def select(
        self,
        position: float,
        slope: float,
        holders: Iterable[Iterable[Lifetime]],
        *,
        is_long: bool,
    ) -> set[int]:
        """Return the indices of the rows to estimate for a prompt.

        ``position`` is that of the prompt, from 0 to 1. ``slope`` is the
        penalty in seconds for the distance of the whole row. ``holders`` are
        the upstreams that have read its parts, the last part first.
        """
        weights = self._long if is_long else self._short
        count = len(weights)
        center = position * count
        step = slope / count

        def cheapest(indices: Iterable[int], most: int) -> Iterable[int]:
            scores = [
                (weights[index] + abs(index - center) * step, index)
                for index in indices
            ]
            return (index for _, index in nsmallest(most, scores))

        chosen = set(cheapest(self._compared_indices(center), NEARBY_ESTIMATED))
        for lifetimes in islice(holders, PARTS_CONSIDERED):
            known = map(
                self.index_by_lifetime.get, islice(lifetimes, HOLDERS_COMPARED)
            )
            listed = (index for index in known if index is not None)
            chosen.update(cheapest(listed, HOLDERS_ESTIMATED))
        return chosen

    def _compared_indices(self, center: float) -> Iterable[int]:
        """Return the indices of the rows to compare.

        Those that are spread over the whole row differ from choice to choice.
        """
        count = len(self.rows)
        first = max(
            0, min(int(center) - NEARBY_COMPARED // 2, count - NEARBY_COMPARED)
        )
        end = min(count, first + NEARBY_COMPARED)
        stride = max(1, (count - NEARBY_COMPARED) // SPREAD_COMPARED)
        start = self._choices % stride
        return chain(
            range(start, first, stride),
            range(first, end),
            range(end + start, count, stride),
        )
