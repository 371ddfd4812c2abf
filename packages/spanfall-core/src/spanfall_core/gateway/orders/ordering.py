"""Turn the counts of a plan into orders, whichever planner determined them."""

from collections.abc import Iterable
from dataclasses import dataclass

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.orders.orders import (
    RESEND_DELAY_SECONDS,
    Order,
    ServiceOrders,
    ServingCounts,
    is_due,
    is_safe,
    is_unfulfilled,
)


@dataclass(frozen=True, slots=True)
class OnDemandBounds:
    """Bound the on-demand upstreams: how many must run and how many may."""

    least: int
    most: int


def pending_reclaimable(
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


def place_on_demand(
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


def data_centre_orders(
    target: Order,
    planned: int,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    *,
    may_make_room: bool,
) -> list[Order]:
    """Return the orders for both kinds of upstreams of one data centre.

    ``target`` is the order for reclaimable ones if there is room, ``planned``
    the number of on-demand ones. ``may_make_room`` tells whether on-demand ones
    leave a full data centre for reclaimable ones.
    """
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
    if may_make_room and ordered >= scaling.max_upstreams:
        # A full data centre accepts no reclaimable upstream until another one
        # has left.
        keep = min(keep, ordered - 1)
    on_demand_order = Order(
        target.service,
        data_centre,
        reclaimable=False,
        count=max(0, keep),
    )
    return [on_demand_order, reclaimable_order]


def effective_orders(
    planned: Iterable[Order],
    orders: ServiceOrders,
    serving: ServingCounts,
    scaling: Scaling,
    now: float,
) -> list[Order]:
    """Return the planned orders that have an effect and are safe to send."""
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
