"""Decide how many upstreams of a service each data centre should run.

Reclaimable upstreams come first, spread evenly, so that the loss of a data
centre leaves enough. Others bridge only what reclaimable ones cannot give at
the moment. Counts rise at once and fall only after they were lower for a
while, so that no order takes back the one before.
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

#: Part of the need that has to be there even if one more data centre loses
#: its reclaimable upstreams while none are to be had: those who boot need
#: longer than a notice lasts.
LOSS_COVERAGE = 0.8
#: One in so many data centres may be lost at a time without too little left;
#: half of them instead cost 0.03 of the worth on a calm day of Muestras.
DATA_CENTRES_PER_LOSS = 3
#: Boot times for which fewer upstreams must do before some are sent away.
SCALE_DOWN_BOOTS = 2


@dataclass(frozen=True, slots=True)
class OnDemandBounds:
    """State how many others must come, and how many may stay."""

    least: int
    most: int


def plan_orders(
    service: str,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    now: float,
) -> list[Order]:
    """Return the orders to send now, most urgent first."""
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
    """Return the reclaimable ones for each place, as many everywhere.

    So that none is worth more than another, and the rest serves after a loss.
    """
    if not scaling.reclaimable_price:
        return 0
    peak = orders.demand.peak
    with_loss = (
        peak
        * data_centres
        / max(1, data_centres - data_centres // DATA_CENTRES_PER_LOSS)
    )
    # The room for a place that may be lost serves for what limits cost now.
    covered = max(with_loss, peak + orders.capacity_lost)
    hold_seconds = scaling.boot_seconds * SCALE_DOWN_BOOTS
    held = orders.reclaimable_targets.learn(
        ceil(covered / max(1, data_centres)), hold_seconds, now
    )
    per_data_centre = max(
        held, ceil(orders.demand.expected(now) / max(1, data_centres))
    )
    count = max(scaling.least, min(scaling.most, per_data_centre))
    if orders.is_scarce(now):
        # What is sent away in a dry spell cannot be had again; others that
        # bridge it cost several times as much.
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
    """Return how many others the fleet needs beside reclaimable ones."""
    hold_seconds = scaling.boot_seconds * SCALE_DOWN_BOOTS
    need = ceil(orders.demand.peak + orders.capacity_lost)
    peak_need = orders.needed_counts.learn(need, hold_seconds, now)
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
        # Nobody waits yet for what boots.
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
    """Return the reclaimable ones that boot there or are ordered now.

    Others would not serve sooner, so none are ordered in their place.
    """
    key = (data_centre, True)
    if orders.is_refused(data_centre, now):
        return 0
    timeout = scaling.boot_seconds + RESEND_DELAY_SECONDS
    waited = now - orders.ordered_at.get(key, now)
    if waited > timeout and key not in orders.fulfilled:
        return 0
    if orders.is_scarce(now):
        # Elsewhere none are to be had: only what was accepted comes.
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
    """Return the others that must stay or come, by data centre.

    Those that are there or ordered stay where they are; more come where they
    cost least, fewer go where they cost most, and none before it has booted.
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
        room = scaling.most - serving.reclaimable[cheap] - on_demand_plan[cheap]
        added = max(0, min(room, change))
        on_demand_plan[cheap] += added
        change -= added
    return on_demand_plan


def _data_centre_orders(
    target: Order,
    on_demand_plan: int,
    scaling: Scaling,
    orders: ServiceOrders,
    serving: ServingCounts,
    now: float,
) -> list[Order]:
    data_centre = target.data_centre
    ordered = orders.in_force.get(
        (data_centre, False), serving.on_demand[data_centre]
    )
    room = scaling.most - max(ordered, serving.on_demand[data_centre])
    reclaimable = Order(
        target.service,
        data_centre,
        reclaimable=True,
        count=max(0, min(target.count, room)),
    )
    # Others that serve stay until reclaimable ones do; none is ordered where
    # a place lost its reclaimable ones and the rest of the fleet is enough.
    least = scaling.least - serving.reclaimable[data_centre]
    keep = max(on_demand_plan, min(serving.on_demand[data_centre], least))
    if ordered >= scaling.most and not orders.is_scarce(now):
        # A full place takes no reclaimable upstream until one has left; while
        # none are to be had, nothing makes room for them.
        keep = min(keep, ordered - 1)
    on_demand = Order(
        target.service,
        data_centre,
        reclaimable=False,
        count=max(0, keep),
    )
    return [on_demand, reclaimable]
