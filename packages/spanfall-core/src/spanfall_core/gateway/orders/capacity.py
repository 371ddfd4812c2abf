"""Decide how many upstreams of a service each data centre should run.

Reclaimable upstreams are preferred and spread evenly, so that enough remain
when a data centre is lost. On-demand upstreams cover only what reclaimable
ones cannot provide at the moment. Counts rise at once but fall only after the
need was lower for some time, so that orders do not oscillate.
"""

from math import ceil

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.orders.ordering import (
    OnDemandBounds,
    data_centre_orders,
    effective_orders,
    pending_reclaimable,
    place_on_demand,
)
from spanfall_core.gateway.orders.orders import (
    Order,
    ServiceOrders,
    ServingCounts,
    record_fulfilled,
)

#: Fraction of the need that must remain if one more data centre loses its
#: reclaimable upstreams while no new ones are available. It is provisioned
#: ahead because a boot takes longer than the notice of a reclaim.
LOSS_COVERAGE = 0.8
#: One in this many data centres may be lost at a time and the rest still
#: suffices. Covering the loss of half of them costs 0.03 of the worth on a calm
#: day of Muestras.
DATA_CENTRES_PER_LOSS = 3
#: Boot times for which a lower count must suffice before upstreams are stopped.
SCALE_DOWN_BOOTS = 2


def plan_orders(
    service: str,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    now: float,
) -> list[Order]:
    """Return the orders to send now, the most urgent ones first."""
    data_centres = sorted(
        scaling.prices, key=lambda data_centre: scaling.prices[data_centre]
    )
    if not orders.in_force and not orders.demand.is_registration_complete(now):
        return []
    record_fulfilled(orders, serving)
    target = _reclaimable_target(orders, len(data_centres), scaling, now)
    pending = sum(
        pending_reclaimable(data_centre, target, scaling, orders, serving, now)
        for data_centre in data_centres
    )
    bounds = _on_demand_bounds(orders, serving, pending, scaling, now)
    on_demand_plan = place_on_demand(
        orders, serving, data_centres, scaling, bounds, now
    )
    planned: list[Order] = []
    for data_centre in data_centres:
        planned.extend(
            data_centre_orders(
                Order(service, data_centre, reclaimable=True, count=target),
                on_demand_plan[data_centre],
                scaling,
                orders,
                serving,
                # None is available while they are scarce.
                may_make_room=not orders.is_scarce(now),
            ),
        )
    return effective_orders(planned, orders, serving, scaling, now)


def _reclaimable_target(
    orders: ServiceOrders,
    data_centres: int,
    scaling: Scaling,
    now: float,
) -> int:
    """Return the number of reclaimable upstreams for each data centre.

    It is the same everywhere, so that no data centre matters more than another
    and the rest carries the load after a loss.
    """
    if not scaling.reclaimable_price:
        return 0
    peak = orders.demand.peak
    with_loss = (
        peak
        * data_centres
        / max(1, data_centres - data_centres // DATA_CENTRES_PER_LOSS)
    )
    # The reserve for the loss of a data centre also covers the capacity that
    # limits cost at the moment.
    covered = max(with_loss, peak + orders.capacity_lost)
    hold_seconds = scaling.boot_seconds * SCALE_DOWN_BOOTS
    held = orders.reclaimable_targets.update(
        ceil(covered / max(1, data_centres)), hold_seconds, now
    )
    per_data_centre = max(
        held, ceil(orders.demand.expected(now) / max(1, data_centres))
    )
    count = max(
        scaling.min_upstreams, min(scaling.max_upstreams, per_data_centre)
    )
    if orders.is_scarce(now):
        # Reclaimable upstreams stopped during a shortage cannot be ordered
        # again, and on-demand ones cost several times as much.
        count = max(count, orders.last_target)
    orders.last_target = count
    return count


def _on_demand_bounds(
    orders: ServiceOrders,
    serving: ServingCounts,
    pending: int,
    scaling: Scaling,
    now: float,
) -> OnDemandBounds:
    """Return the bounds for on-demand upstreams in the whole fleet."""
    hold_seconds = scaling.boot_seconds * SCALE_DOWN_BOOTS
    need = ceil(orders.demand.peak + orders.capacity_lost)
    peak_need = orders.needed_counts.update(need, hold_seconds, now)
    needed = max(peak_need, ceil(orders.demand.expected(now)))
    present = serving.reclaimable.total()
    most = max(0, needed - present)
    least = max(0, most - pending)
    if orders.is_scarce(now):
        largest = max(serving.reclaimable.values(), default=0)
        shortfall = ceil(peak_need * LOSS_COVERAGE) - (
            present + pending - largest
        )
        least = max(least, shortfall)
    if orders.demand.is_idle():
        # There is no load yet that waits for booting upstreams.
        most = least
    return OnDemandBounds(least, max(least, most))
