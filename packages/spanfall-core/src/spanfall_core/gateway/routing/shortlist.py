"""Name the few upstreams of a large service among which one is best.

A full estimate of each upstream costs the home a time that grows with their
number. What an upstream would cost without regard to the single request
changes little between two choices, so it is kept for all and corrected by each
choice; only those for which it is least, near the place where the prompt
belongs or among those that have read its parts, get a full estimate.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import nsmallest
from itertools import chain, islice
from typing import Generic, TypeVar

from spanfall_core.gateway.known.lifetimes import Lifetime

Row = TypeVar('Row')

#: Upstreams up to which a choice estimates all of them.
FULL_SEARCH_LIMIT = 32
#: Upstreams that are compared, around the place of a prompt and spread over the
#: whole row, and those of them that get a full estimate.
NEARBY_COMPARED = 64
SPREAD_COMPARED = 48
NEARBY_ESTIMATED = 8
#: The same among those that have read a part of the prompt, for the last parts
#: that anybody has read.
HOLDERS_COMPARED = 24
HOLDERS_ESTIMATED = 4
PARTS_CONSIDERED = 2
#: Seconds after which what is kept is found anew, and the choices for each
#: upstream that may come before.
MAX_AGE_SECONDS = 0.25
MAX_CHOICES_PER_UPSTREAM = 0.5

#: Return the seconds that a short and a long prompt would lose at an upstream.
LoadWeight = Callable[[Lifetime, Row], tuple[float, float]]


@dataclass(slots=True)
class Shortlist(Generic[Row]):
    """Hold what is lately known of the load of one service."""

    rows: Sequence[Row] = ()
    #: Places of the rows on a ring that all nodes share.
    digests: Sequence[int] = ()
    #: Numbers of the rows by lifetime.
    index_by_lifetime: Mapping[Lifetime, int] = field(default_factory=dict)
    #: Seconds that a short and a long prompt would lose at each.
    _short: list[float] = field(default_factory=list)
    _long: list[float] = field(default_factory=list)
    _refreshed_at: float = float('-inf')
    _choices: int = 0

    def preferred(self, digest: int) -> int:
        """Return the number of the row that follows a place on the ring."""
        return bisect_left(self.digests, digest) % len(self.rows)

    def is_stale(self, now: float) -> bool:
        """Tell whether the loads are to be found anew."""
        is_exhausted = self._choices > len(self.rows) * MAX_CHOICES_PER_UPSTREAM
        return is_exhausted or now - self._refreshed_at > MAX_AGE_SECONDS

    def refresh(self, weigh: LoadWeight[Row], now: float) -> None:
        """Find the load of each upstream."""
        named = zip(self.index_by_lifetime, self.rows, strict=True)
        weights = [weigh(lifetime, row) for lifetime, row in named]
        self._short = [short for short, _ in weights]
        self._long = [long for _, long in weights]
        self._refreshed_at = now
        self._choices = 0

    def record_choice(self, lifetime: Lifetime, seconds: float) -> None:
        """Note what one more request costs the next at its upstream."""
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
        """Return the numbers of the rows to estimate for a prompt.

        It belongs at a ``place`` from 0 to 1 and loses ``slope`` seconds over
        the whole row; ``holders`` have read its parts, the last part first.
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
        """Return the numbers of the rows that are compared.

        Those that are spread over the row are others at each choice.
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
