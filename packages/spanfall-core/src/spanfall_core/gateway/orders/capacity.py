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
    REPEAT_SECONDS,
    Order,
    Present,
    ServiceOrders,
    is_certain,
    is_due,
    is_without_effect,
    note_reached,
)

#: Part of the need that has to be there even if one more data centre loses
#: its reclaimable upstreams while none are to be had: those who boot need
#: longer than a notice lasts.
AHEAD_PART = 0.8
#: One in so many data centres may be lost at a time without too little left;
#: half of them instead cost 0.03 of the worth on a calm day of Muestras.
LOST_PART = 3
#: Boot times for which fewer upstreams must do before some are sent away.
HOLD_BOOTS = 2


@dataclass(frozen=True, slots=True)
class Missing:
    """State how many others must come, and how many may stay."""

    least: int
    most: int


def plan_orders(
    service: str,
    scaling: Scaling,
    orders: ServiceOrders,
    present: Present,
    now: float,
) -> list[Order]:
    """Return the orders to send now, most urgent first."""
    places = sorted(scaling.prices, key=lambda place: scaling.prices[place])
    if not orders.in_force and not orders.demand.is_complete(now):
        return []
    note_reached(orders, present)
    wanted = _wanted(orders, len(places), scaling, now)
    coming = sum(
        _coming(place, wanted, scaling, orders, present, now)
        for place in places
    )
    missing = _missing(orders, present, coming, scaling, now)
    bridge = _bridge(orders, present, places, scaling, missing, now)
    planned: list[Order] = []
    for place in places:
        planned.extend(
            _place_orders(
                Order(service, place, reclaimable=True, count=wanted),
                bridge[place],
                scaling,
                orders,
                present,
                now,
            ),
        )
    return [
        order
        for order in planned
        if is_due(order, orders, now)
        and is_certain(order, orders, present, scaling, now)
        and (
            orders.in_force.get(order.subject) != order.count
            or is_without_effect(order, orders, present, scaling, now)
        )
    ]


def _wanted(
    orders: ServiceOrders,
    places: int,
    scaling: Scaling,
    now: float,
) -> int:
    """Return the reclaimable ones for each place, as many everywhere.

    So that none is worth more than another, and the rest serves after a loss.
    """
    if not scaling.reclaimable_price:
        return 0
    peak = orders.demand.peak
    with_loss = peak * places / max(1, places - places // LOST_PART)
    # The room for a place that may be lost serves for what limits cost now.
    covered = max(with_loss, peak + orders.lost)
    hold = scaling.boot_seconds * HOLD_BOOTS
    held = orders.wanted.learn(ceil(covered / max(1, places)), hold, now)
    each = max(held, ceil(orders.demand.expected(now) / max(1, places)))
    count = max(scaling.min_upstreams, min(scaling.max_upstreams, each))
    if orders.is_scarce(now):
        # What is sent away in a dry spell cannot be had again; others that
        # bridge it cost several times as much.
        count = max(count, orders.last_wanted)
    orders.last_wanted = count
    return count


def _missing(
    orders: ServiceOrders,
    present: Present,
    coming: int,
    scaling: Scaling,
    now: float,
) -> Missing:
    """Return how many others the fleet needs beside reclaimable ones."""
    hold = scaling.boot_seconds * HOLD_BOOTS
    need = ceil(orders.demand.peak + orders.lost)
    seen = orders.needed.learn(need, hold, now)
    needed = max(seen, ceil(orders.demand.expected(now)))
    there = present.reclaimable.total()
    most = max(0, needed - there)
    least = max(0, most - coming)
    if orders.is_scarce(now):
        largest = max(present.reclaimable.values(), default=0)
        ahead = ceil(seen * AHEAD_PART) - (there + coming - largest)
        least = max(least, ahead)
    if orders.demand.is_idle():
        # Nobody waits yet for what boots.
        most = least
    return Missing(least, max(least, most))


def _coming(
    place: str,
    wanted: int,
    scaling: Scaling,
    orders: ServiceOrders,
    present: Present,
    now: float,
) -> int:
    """Return the reclaimable ones that boot there or are ordered now.

    Others would not serve sooner, so none are ordered in their place.
    """
    subject = (place, True)
    if orders.is_refused(place, now):
        return 0
    latest = scaling.boot_seconds + REPEAT_SECONDS
    waited = now - orders.ordered_at.get(subject, now)
    if waited > latest and subject not in orders.reached:
        return 0
    if orders.is_scarce(now):
        # Elsewhere none are to be had: only what was accepted comes.
        wanted = min(wanted, orders.in_force.get(subject, 0))
    return max(0, wanted - present.reclaimable[place])


def _bridge(
    orders: ServiceOrders,
    present: Present,
    places: list[str],
    scaling: Scaling,
    missing: Missing,
    now: float,
) -> dict[str, int]:
    """Return the others that must stay or come, by data centre.

    Those that are there or ordered stay where they are; more come where they
    cost least, fewer go where they cost most, and none before it has booted.
    """
    bridge = {
        place: orders.in_force.get((place, False), present.others[place])
        for place in places
    }
    ordered = sum(bridge.values())
    change = min(max(ordered, missing.least), missing.most) - ordered
    settled = [
        place
        for place in reversed(places)
        if now - orders.raised_at.get((place, False), float('-inf'))
        > scaling.boot_seconds
    ]
    for dear in settled:
        gone = max(0, min(-change, bridge[dear]))
        bridge[dear] -= gone
        change += gone
    for cheap in places:
        room = (
            scaling.max_upstreams - present.reclaimable[cheap] - bridge[cheap]
        )
        added = max(0, min(room, change))
        bridge[cheap] += added
        change -= added
    return bridge


def _place_orders(
    wanted: Order,
    bridge: int,
    scaling: Scaling,
    orders: ServiceOrders,
    present: Present,
    now: float,
) -> list[Order]:
    place = wanted.data_centre
    others = orders.in_force.get((place, False), present.others[place])
    room = scaling.max_upstreams - max(others, present.others[place])
    reclaimable = Order(
        wanted.service,
        place,
        reclaimable=True,
        count=max(0, min(wanted.count, room)),
    )
    # Others that serve stay until reclaimable ones do; none is ordered where
    # a place lost its reclaimable ones and the rest of the fleet is enough.
    least = scaling.min_upstreams - present.reclaimable[place]
    keep = max(bridge, min(present.others[place], least))
    if others >= scaling.max_upstreams and not orders.is_scarce(now):
        # A full place takes no reclaimable upstream until one has left; while
        # none are to be had, nothing makes room for them.
        keep = min(keep, others - 1)
    replacing = Order(
        wanted.service,
        place,
        reclaimable=False,
        count=max(0, keep),
    )
    return [replacing, reclaimable]
