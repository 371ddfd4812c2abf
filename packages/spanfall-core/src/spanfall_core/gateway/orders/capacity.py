"""Decide how many upstreams of a service each data centre should run.

Reclaimable upstreams are preferred and spread evenly, so that enough remain
when a data centre is lost. On-demand upstreams cover only what reclaimable
ones cannot provide at the moment. Counts rise at once but fall only after the
need was lower for some time, so that orders do not oscillate.
"""

from dataclasses import dataclass
from math import ceil

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.orders.orders import (
    RESEND_DELAY_SECONDS,
    Order,
    ServiceOrders,
    ServingCounts,
    is_due,
    is_safe,
    is_unfulfilled,
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


@dataclass(frozen=True, slots=True)
class OnDemandBounds:
    """Bound the on-demand upstreams: how many must run and how many may."""

    least: int
    most: int


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
        _pending_reclaimable(data_centre, target, scaling, orders, serving, now)
        for data_centre in data_centres
    )
    bounds = _on_demand_bounds(orders, serving, pending, scaling, now)
    on_demand_plan = _plan_on_demand(
        orders, serving, data_centres, scaling, bounds, now
    )
    planned: list[Order] = []
    for data_centre in data_centres:
        planned.extend(
            _data_centre_orders(
                Order(service, data_centre, reclaimable=True, count=target),
                on_demand_plan[data_centre],
                scaling,
                orders,
                serving,
                now,
            ),
        )
    return [
        order
        for order in planned
        if is_due(order, orders, now)
        and is_safe(order, orders, serving, scaling, now)
        and (
            orders.in_force.get(order.key) != order.count
            or is_unfulfilled(order, orders, serving, scaling, now)
        )
    ]


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


def _pending_reclaimable(
    data_centre: str,
    target: int,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    now: float,
) -> int:
    """Return the reclaimable upstreams that boot there or are ordered now.

    On-demand upstreams would not serve sooner, so none replace them.
    """
    key = (data_centre, True)
    if orders.is_refused(data_centre, now):
        return 0
    timeout = scaling.boot_seconds + RESEND_DELAY_SECONDS
    waited = now - orders.ordered_at.get(key, now)
    if waited > timeout and key not in orders.fulfilled:
        return 0
    if orders.is_scarce(now):
        # Reclaimable upstreams are scarce: only those of accepted orders are
        # expected.
        target = min(target, orders.in_force.get(key, 0))
    return max(0, target - serving.reclaimable[data_centre])


def _plan_on_demand(
    orders: ServiceOrders,
    serving: ServingCounts,
    data_centres: list[str],
    scaling: Scaling,
    bounds: OnDemandBounds,
    now: float,
) -> dict[str, int]:
    """Return the number of on-demand upstreams for each data centre.

    Existing and ordered upstreams keep their place. More are added where they
    are cheapest; surplus ones are removed where they are most expensive, and
    only where a boot time has passed since the last increase.
    """
    on_demand_plan = {
        data_centre: orders.in_force.get(
            (data_centre, False), serving.on_demand[data_centre]
        )
        for data_centre in data_centres
    }
    ordered = sum(on_demand_plan.values())
    change = min(max(ordered, bounds.least), bounds.most) - ordered
    settled = [
        data_centre
        for data_centre in reversed(data_centres)
        if now - orders.increased_at.get((data_centre, False), float('-inf'))
        > scaling.boot_seconds
    ]
    for expensive in settled:
        removed = max(0, min(-change, on_demand_plan[expensive]))
        on_demand_plan[expensive] -= removed
        change += removed
    for cheap in data_centres:
        room = (
            scaling.max_upstreams
            - serving.reclaimable[cheap]
            - on_demand_plan[cheap]
        )
        added = max(0, min(room, change))
        on_demand_plan[cheap] += added
        change -= added
    return on_demand_plan


def _data_centre_orders(
    target: Order,
    planned: int,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    now: float,
) -> list[Order]:
    data_centre = target.data_centre
    ordered = orders.in_force.get(
        (data_centre, False), serving.on_demand[data_centre]
    )
    room = scaling.max_upstreams - max(ordered, serving.on_demand[data_centre])
    reclaimable_order = Order(
        target.service,
        data_centre,
        reclaimable=True,
        count=max(0, min(target.count, room)),
    )
    # On-demand upstreams that serve stay until reclaimable ones do. None is
    # ordered for a data centre that lost its reclaimable ones if the rest of
    # the fleet suffices.
    least = scaling.min_upstreams - serving.reclaimable[data_centre]
    keep = max(planned, min(serving.on_demand[data_centre], least))
    if ordered >= scaling.max_upstreams and not orders.is_scarce(now):
        # A full data centre accepts no reclaimable upstream until another one
        # has left. While they are scarce, no room is made for them.
        keep = min(keep, ordered - 1)
    on_demand_order = Order(
        target.service,
        data_centre,
        reclaimable=False,
        count=max(0, keep),
    )
    return [on_demand_order, reclaimable_order]
