"""Plan how many upstreams each data centre runs by their expected value.

Reclaimable upstreams run where they are cheapest, as far as the loss of a data
centre leaves what the targets need. On-demand ones cover what is worth their
price while reclaimable ones cannot be had. Counts rise at once and fall only
after the need was lower for some time, so that orders do not oscillate.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from math import ceil

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.orders.demand import SlidingMaximum
from spanfall_core.gateway.orders.dips import (
    ON_DEMAND_HOLD_BOOTS,
    RECLAIMABLE_HOLD_BOOTS,
    NeedDips,
)
from spanfall_core.gateway.orders.expected_value import (
    CapacityNeed,
    assess,
    expected_prices,
)
from spanfall_core.gateway.orders.offered_work import (
    RequestTimes,
    WorkForecast,
)
from spanfall_core.gateway.orders.ordering import (
    OnDemandBounds,
    data_centre_orders,
    effective_orders,
    pending_reclaimable,
    place_on_demand,
)
from spanfall_core.gateway.orders.orders import (
    Order,
    OrderKey,
    ServiceOrders,
    ServingCounts,
    record_fulfilled,
)
from spanfall_core.gateway.orders.placement import (
    CountBounds,
    PlacementNeed,
    adjust,
    spread_evenly,
)
from spanfall_core.gateway.orders.reclaims import ReclaimHistory


def _held_counts() -> defaultdict[str, SlidingMaximum]:
    return defaultdict(SlidingMaximum)


@dataclass(slots=True)
class Valuation:
    """Hold what is known of a service's work, and the counts that follow."""

    forecast: WorkForecast = field(default_factory=WorkForecast)
    times: RequestTimes = field(default_factory=RequestTimes)
    reclaims: ReclaimHistory = field(default_factory=ReclaimHistory)
    need: CapacityNeed = field(default_factory=CapacityNeed)
    #: The same with the capacity that limits cost, while the need dips.
    kept: CapacityNeed = field(default_factory=CapacityNeed)
    #: Expected price of a reclaimable upstream second, by data centre.
    prices: dict[str, float] = field(default_factory=dict)
    #: Reclaimable upstreams that the need calls for, and those to run while
    #: counts that fell are held, by data centre.
    placed: dict[str, int] = field(default_factory=dict)
    targets: dict[str, int] = field(default_factory=dict)
    #: During the first plan, the orders that another planner left in force.
    taken_over: dict[OrderKey, int] = field(default_factory=dict)
    _dips: NeedDips = field(default_factory=NeedDips)
    _held_targets: defaultdict[str, SlidingMaximum] = field(
        default_factory=_held_counts
    )
    _held_on_demand: SlidingMaximum = field(default_factory=SlidingMaximum)

    def record_need(
        self, need: CapacityNeed, lost: int, scaling: Scaling, now: float
    ) -> None:
        """Record a need and the upstreams that limits cost beside it."""
        self.need = need
        # No more than this can be ordered, whatever the need.
        most = scaling.max_upstreams * len(scaling.prices)
        bounded = CapacityNeed(
            min(most, need.reclaimable + lost),
            min(most, need.on_demand + lost),
            min(most, need.after_loss),
        )
        self.kept = self._dips.keep(bounded, scaling.boot_seconds, now)

    def hold_target(
        self, data_centre: str, count: int, hold: float, now: float
    ) -> int:
        """Return the largest count of a data centre in the last seconds."""
        return self._held_targets[data_centre].update(count, hold, now)

    def hold_on_demand(self, count: int, hold: float, now: float) -> int:
        """Return the largest count of the last seconds."""
        return self._held_on_demand.update(count, hold, now)


def plan_valued_orders(
    service: str,
    scaling: Scaling,
    orders: ServiceOrders,
    valuation: Valuation,
    serving: ServingCounts,
    now: float,
) -> list[Order]:
    """Return the orders to send now, the most urgent ones first."""
    if not scaling.prices:
        return []
    if not orders.in_force and not orders.demand.is_registration_complete(now):
        return []
    record_fulfilled(orders, serving)
    valuation.taken_over = {} if valuation.targets else dict(orders.in_force)
    valuation.reclaims.record(serving, orders.in_force, now)
    valuation.prices = expected_prices(scaling, valuation.reclaims, now)
    valuation.record_need(
        assess(valuation.forecast, valuation.times, scaling, valuation.prices),
        ceil(orders.capacity_lost),
        scaling,
        now,
    )
    valuation.targets = _reclaimable_targets(
        orders, valuation, serving, scaling, now
    )
    data_centres = sorted(
        scaling.prices, key=lambda data_centre: scaling.prices[data_centre]
    )
    pending = sum(
        pending_reclaimable(data_centre, target, scaling, orders, serving, now)
        for data_centre, target in valuation.targets.items()
    )
    bounds = _on_demand_bounds(
        orders, valuation, serving, pending, scaling, now
    )
    on_demand = place_on_demand(
        orders, serving, data_centres, scaling, bounds, now
    )
    is_scarce = orders.is_scarce(now)
    planned = [
        order
        for data_centre in data_centres
        for order in data_centre_orders(
            Order(
                service,
                data_centre,
                reclaimable=True,
                count=valuation.targets[data_centre],
            ),
            on_demand[data_centre],
            scaling,
            orders,
            serving,
            may_make_room=valuation.targets[data_centre] > 0 and not is_scarce,
        )
    ]
    return effective_orders(planned, orders, serving, scaling, now)


def _reclaimable_targets(
    orders: ServiceOrders,
    valuation: Valuation,
    serving: ServingCounts,
    scaling: Scaling,
    now: float,
) -> dict[str, int]:
    """Return the number of reclaimable upstreams for each data centre."""
    if not scaling.reclaimable_price:
        return dict.fromkeys(scaling.prices, 0)
    kept = valuation.kept
    valuation.placed = adjust(
        valuation.placed or _found_reclaimable(orders, serving, scaling),
        PlacementNeed(kept.reclaimable, kept.after_loss),
        valuation.prices,
        CountBounds(scaling.min_upstreams, scaling.max_upstreams),
    )
    hold = scaling.boot_seconds * RECLAIMABLE_HOLD_BOOTS
    initial = spread_evenly(_unmeasured(orders, now), scaling.prices)
    held = {
        data_centre: max(
            min(initial[data_centre], scaling.max_upstreams),
            valuation.hold_target(
                data_centre,
                max(count, valuation.taken_over.get((data_centre, True), 0)),
                hold,
                now,
            ),
        )
        for data_centre, count in valuation.placed.items()
    }
    if not _keeps_reclaimable(orders, valuation.forecast, hold, now):
        return held
    return {
        data_centre: max(
            count,
            _kept_reclaimable(
                data_centre, orders, valuation, serving, scaling, now
            ),
        )
        for data_centre, count in held.items()
    }


def _keeps_reclaimable(
    orders: ServiceOrders, forecast: WorkForecast, hold: float, now: float
) -> bool:
    """Return whether no reclaimable upstream may be stopped now.

    Those stopped during a shortage cannot be ordered again, and on-demand ones
    cost several times as much; while the work grows, they would soon boot
    again. A new home has a need that its predecessor may have known for a short
    time only.
    """
    is_new = not forecast.is_observed(hold, now)
    return is_new or forecast.is_growing or orders.is_scarce(now)


def _found_reclaimable(
    orders: ServiceOrders,
    serving: ServingCounts,
    scaling: Scaling,
) -> dict[str, int]:
    """Return the reclaimable upstreams that a first plan finds, if any."""
    found = {
        data_centre: max(
            orders.in_force.get((data_centre, True), 0),
            serving.reclaimable[data_centre],
        )
        for data_centre in scaling.prices
    }
    return found if any(found.values()) else {}


def _kept_reclaimable(
    data_centre: str,
    orders: ServiceOrders,
    valuation: Valuation,
    serving: ServingCounts,
    scaling: Scaling,
    now: float,
) -> int:
    """Return the reclaimable upstreams that serve or boot."""
    last = valuation.targets.get(data_centre, 0)
    pending = pending_reclaimable(
        data_centre, last, scaling, orders, serving, now
    )
    return serving.reclaimable[data_centre] + pending


def _on_demand_bounds(
    orders: ServiceOrders,
    valuation: Valuation,
    serving: ServingCounts,
    pending: int,
    scaling: Scaling,
    now: float,
) -> OnDemandBounds:
    """Return the bounds for on-demand upstreams in the whole fleet."""
    found = sum(
        count
        for (_, reclaimable), count in valuation.taken_over.items()
        if not reclaimable
    )
    if found:
        found += serving.reclaimable.total()
    needed = valuation.hold_on_demand(
        max(found, valuation.kept.on_demand),
        scaling.boot_seconds * ON_DEMAND_HOLD_BOOTS,
        now,
    )
    needed = max(needed, _unmeasured(orders, now))
    most = max(0, needed - serving.reclaimable.total())
    least = max(0, most - pending)
    if orders.demand.is_idle():
        # Nothing waits for booting upstreams yet.
        return OnDemandBounds(least, least)
    new_seconds = scaling.boot_seconds * RECLAIMABLE_HOLD_BOOTS
    if not valuation.forecast.is_observed(new_seconds, now):
        most = max(most, serving.on_demand.total())
    return OnDemandBounds(least, most)


def _unmeasured(orders: ServiceOrders, now: float) -> int:
    """Return the initial count until the load was observed for long enough."""
    if orders.demand.is_measured(now):
        return 0
    return orders.demand.initial_count
