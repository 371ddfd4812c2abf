"""Weigh what one more upstream is expected to earn against what it costs.

An upstream earns the work that is answered on time because of it. A reclaimable
one also costs what is lost when its data centre is reclaimed: until an on-demand
one serves in its place, work is late, and that one costs more.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from statistics import fmean

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.orders.offered_work import (
    RequestTimes,
    WorkForecast,
)
from spanfall_core.gateway.orders.queueing import (
    bearable_utilisation,
    on_time_work,
    slack_ratio,
)
from spanfall_core.gateway.orders.reclaims import ReclaimHistory

#: Seconds of an on-demand upstream that a second of work answered on time is
#: worth. Operators run upstreams for their callers: up to one that answers on
#: time in a quarter of its time what would otherwise be late, it is kept.
ON_TIME_VALUE = 4.0
#: Fraction of late requests that callers bear for the seconds of a shortage.
SHORTAGE_LATE_FRACTION = 0.05
#: Length of a shortage after a reclaim, in boot times.
SHORTAGE_BOOTS = 3.0
#: Fraction of a boot time that remains after the notice of a reclaim.
UNCOVERED_BOOT_FRACTION = 0.5

#: Utilisation below which no further upstream is ever worth its price.
MIN_UTILISATION = 0.25

#: Possible amounts of work, in busy engines, with their probabilities.
WorkPoints = Sequence[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class CapacityNeed:
    """State how many upstreams the expected work is worth."""

    #: Upstreams worth the price of reclaimable ones, all together.
    reclaimable: int = 0
    #: Upstreams worth the price of on-demand ones, all together.
    on_demand: int = 0
    #: Upstreams that the targets need after the loss of a data centre.
    after_loss: int = 0


def assess(
    forecast: WorkForecast,
    times: RequestTimes,
    scaling: Scaling,
    reclaimable_prices: dict[str, float],
) -> CapacityNeed:
    """Return how many upstreams of each kind the expected work is worth.

    ``reclaimable_prices`` includes what reclaims are expected to cost.
    """
    ratio = slack_ratio(times.target, times.first_token, times.busy)
    value = on_time_value(scaling)
    growing = forecast.points(forecast.expected)
    # Growth within a boot time is mostly chance; on-demand upstreams that it
    # brings about cost several times as much.
    present = forecast.points(forecast.level)
    bearable = bearable_utilisation(ratio, SHORTAGE_LATE_FRACTION)
    return CapacityNeed(
        worthwhile_count(
            growing, ratio, fmean(reclaimable_prices.values()) / value
        ),
        worthwhile_count(present, ratio, min(scaling.prices.values()) / value),
        ceil(forecast.expected / bearable),
    )


def worthwhile_count(points: WorkPoints, ratio: float, price: float) -> int:
    """Return the count from which one more upstream costs more than it earns.

    ``price`` is the price of an upstream second, in seconds of work on time.
    """
    amounts = [busy for busy, _ in points]
    engines = range(int(min(amounts)), ceil(max(amounts) / MIN_UTILISATION) + 1)
    # The more engines there are, the less one more adds.
    found = bisect_left(
        engines,
        -price,
        key=lambda present: -marginal_work(points, present, ratio),
    )
    return engines.start + found


def marginal_work(points: WorkPoints, engines: int, ratio: float) -> float:
    """Return the work on time that one more engine is expected to add."""
    return sum(
        probability
        * (
            on_time_work(busy, engines + 1, ratio)
            - on_time_work(busy, engines, ratio)
        )
        for busy, probability in points
    )


def expected_prices(
    scaling: Scaling,
    reclaims: ReclaimHistory,
    now: float,
) -> dict[str, float]:
    """Return the price of a reclaimable upstream second, with its reclaims."""
    loss = reclaim_cost(scaling)
    return {
        data_centre: scaling.reclaimable_price * price
        + reclaims.rate(data_centre, now) * loss
        for data_centre, price in scaling.prices.items()
    }


def on_time_value(scaling: Scaling) -> float:
    """Return the value of a second of work on time, as a price."""
    return ON_TIME_VALUE * (fmean(scaling.prices.values()) or 1)


def reclaim_cost(scaling: Scaling) -> float:
    """Return what the loss of one needed reclaimable upstream costs.

    Its work is late until an on-demand one serves, which then runs until
    reclaimable ones are available again.
    """
    late_seconds = scaling.boot_seconds * UNCOVERED_BOOT_FRACTION
    value = on_time_value(scaling)
    bridged_seconds = scaling.boot_seconds * SHORTAGE_BOOTS
    return late_seconds * value + bridged_seconds * min(scaling.prices.values())
