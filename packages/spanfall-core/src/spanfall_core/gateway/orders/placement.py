"""Place upstreams in the cheapest data centres that bound a loss."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise


@dataclass(frozen=True, slots=True)
class PlacementNeed:
    """State how many upstreams a placement must provide."""

    #: Upstreams in all data centres together.
    total: int
    #: Upstreams that must remain without the data centre that holds most.
    after_loss: int


@dataclass(frozen=True, slots=True)
class CountBounds:
    """Bound the number of upstreams in one data centre."""

    least: int
    most: int


def place(
    need: PlacementNeed,
    prices: Mapping[str, float],
    bounds: CountBounds,
) -> dict[str, int]:
    """Return the cheapest counts that meet a need, by data centre.

    Where the bounds leave no such counts, the largest possible are returned.
    Of equal costs, the most even placement is returned.
    """
    cheapest = sorted(prices, key=lambda data_centre: prices[data_centre])
    candidates = [
        _fill(need, cheapest, CountBounds(bounds.least, largest))
        for largest in range(bounds.least, bounds.most + 1)
    ]
    feasible = [counts for counts in candidates if meets(need, counts)]
    if not feasible:
        return dict.fromkeys(cheapest, bounds.most)
    return min(feasible, key=lambda counts: cost(counts, prices))


def meets(need: PlacementNeed, counts: Mapping[str, int]) -> bool:
    """Return whether counts meet a need, also after the largest loss."""
    total = sum(counts.values())
    largest = max(counts.values(), default=0)
    return total >= need.total and total - largest >= need.after_loss


def cost(counts: Mapping[str, int], prices: Mapping[str, float]) -> float:
    """Return the price of counts per second."""
    return sum(
        count * prices[data_centre] for data_centre, count in counts.items()
    )


def _fill(
    need: PlacementNeed,
    cheapest: list[str],
    bounds: CountBounds,
) -> dict[str, int]:
    """Fill the cheapest data centres first, each up to the upper bound."""
    wanted = max(need.total, need.after_loss + bounds.most)
    left = max(0, wanted - bounds.least * len(cheapest))
    room = bounds.most - bounds.least
    filled = [min(left, room * number) for number in range(len(cheapest) + 1)]
    return {
        data_centre: bounds.least + after - before
        for data_centre, (before, after) in zip(
            cheapest, pairwise(filled), strict=True
        )
    }
