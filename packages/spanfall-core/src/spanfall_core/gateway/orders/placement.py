"""Place upstreams in the cheapest data centres that bound a loss."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import pairwise
from math import ceil

#: Fraction of the price that another placement must save: upstreams that move
#: are paid twice while they boot.
MIN_SAVING = 0.1


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


def adjust(
    current: Mapping[str, int],
    need: PlacementNeed,
    prices: Mapping[str, float],
    bounds: CountBounds,
) -> dict[str, int]:
    """Return counts that meet a need with few changes to the current ones.

    They are placed anew where there are none yet, where they cannot meet the
    need, or where that saves much.
    """
    best = place(need, prices, bounds)
    if current.keys() != best.keys():
        return best
    changed = _reduced(
        _raised(current, need, prices, bounds), need, prices, bounds
    )
    if not meets(need, changed):
        return best
    saved = cost(changed, prices) - cost(best, prices)
    return best if saved > MIN_SAVING * cost(changed, prices) else changed


def spread_evenly(total: int, data_centres: Collection[str]) -> dict[str, int]:
    """Return equal counts, so that a loss of unknown effect is least."""
    return dict.fromkeys(data_centres, ceil(total / max(1, len(data_centres))))


def meets(need: PlacementNeed, counts: Mapping[str, int]) -> bool:
    """Return whether counts meet a need, also after the largest loss.

    No number of upstreams in a single data centre remains after its loss.
    """
    total = sum(counts.values())
    if len(counts) == 1:
        return total >= need.total
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


def _raised(
    current: Mapping[str, int],
    need: PlacementNeed,
    prices: Mapping[str, float],
    bounds: CountBounds,
) -> dict[str, int]:
    """Add upstreams where they help, and cheapest, until a need is met."""
    counts = {
        data_centre: min(bounds.most, max(bounds.least, count))
        for data_centre, count in current.items()
    }
    rank = partial(_rank, need, prices)
    while not meets(need, counts):
        raised = [
            counts | {data_centre: count + 1}
            for data_centre, count in counts.items()
            if count < bounds.most
        ]
        if not raised:
            break
        counts = min(raised, key=rank)
    return counts


def _reduced(
    counts: dict[str, int],
    need: PlacementNeed,
    prices: Mapping[str, float],
    bounds: CountBounds,
) -> dict[str, int]:
    """Remove the most expensive upstreams that a need leaves over."""
    rank = partial(_rank, need, prices)
    while True:
        reduced = [
            counts | {data_centre: count - 1}
            for data_centre, count in counts.items()
            if count > bounds.least
        ]
        enough = [other for other in reduced if meets(need, other)]
        if not enough:
            return counts
        counts = min(enough, key=rank)


def _rank(
    need: PlacementNeed,
    prices: Mapping[str, float],
    counts: Mapping[str, int],
) -> tuple[int, float]:
    """Return what counts lack and their price; lower is better."""
    total = sum(counts.values())
    remaining = total - max(counts.values(), default=0)
    lacking = max(0, need.total - total) + max(0, need.after_loss - remaining)
    return lacking, cost(counts, prices)
