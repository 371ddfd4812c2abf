"""Decide how many upstreams of a service each data centre should run.

Reclaimable upstreams come first, spread evenly, so that the loss of one data
centre leaves enough. Others bridge only what reclaimable ones cannot give at
the moment. Demand rises at once and falls slowly, so that counts never swing.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from spanfall_core.gateway.balance import PREFILL_RATE
from spanfall_core.gateway.configuration import EngineLimits, Scaling
from spanfall_core.gateway.directory import ListedUpstream

#: Part of the need below which others bridge what is missing; above it, the
#: reclaimable ones that are left carry on alone for a while.
BRIDGE_PART = 0.8
#: Part of the need that has to be there even if one more data centre loses
#: its reclaimable upstreams while none are to be had: those who boot need
#: longer than a notice lasts.
AHEAD_PART = 0.6
#: Part by which fewer others must be needed before some are sent away.
SWING_PART = 0.2
#: One in so many data centres may be lost at a time without too little left;
#: half of them instead cost 0.03 of the worth on a calm day of Muestras.
LOST_PART = 3
#: Part of an engine's slots that run with tokens in time.
GOOD_BATCH = 0.6
#: Part of an engine's time that may go into reading prompts.
GOOD_PREFILL = 0.55
#: Seconds in which a past peak of the demand halves.
PEAK_HALF_LIFE = 40.0
#: Upstreams assumed to be needed for each that was there at the start, as
#: long as no demand was seen.
FIRST_FACTOR = 1.0
#: Seconds after a refusal before a data centre is asked again.
REFUSED_SECONDS = 3.0
#: Seconds beyond the boot time after which an order without effect is
#: sent again.
REPEAT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Order:
    """Ask for a number of upstreams of one kind in one data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def subject(self) -> tuple[str, bool]:
        """Name what the order counts, within its service."""
        return self.data_centre, self.reclaimable


@dataclass(slots=True)
class Demand:
    """Hold the need for upstreams of one service, as a fading peak."""

    peak: float = 0
    seen_at: float = 0

    def learn(self, needed: float, now: float) -> None:
        """Take a new measurement of the need."""
        passed = max(0, now - self.seen_at)
        faded = self.peak * 0.5 ** (passed / PEAK_HALF_LIFE)
        self.peak = max(needed, faded)
        self.seen_at = now


@dataclass(slots=True)
class ServiceOrders:
    """Hold the orders in force for one service and their refusals."""

    demand: Demand = field(default_factory=Demand)
    #: Upstreams at the first look, as a first guess of the need.
    first_count: int = 0
    in_force: dict[tuple[str, bool], int] = field(default_factory=dict)
    ordered_at: dict[tuple[str, bool], float] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)
    #: What was ordered and has come since.
    reached: set[tuple[str, bool]] = field(default_factory=set)

    def is_scarce(self, now: float) -> bool:
        """Tell whether a data centre refused reclaimable ones lately."""
        return any(until > now for until in self.refused_until.values())


@dataclass(frozen=True, slots=True)
class Present:
    """Count the upstreams that serve now, by data centre."""

    reclaimable: Counter[str]
    others: Counter[str]

    def total(self) -> int:
        """Return all upstreams that serve."""
        return self.reclaimable.total() + self.others.total()

    def count(self, subject: tuple[str, bool]) -> int:
        """Return the upstreams of one kind in one data centre."""
        place, reclaimable = subject
        return (self.reclaimable if reclaimable else self.others)[place]


def count_present(rows: Iterable[ListedUpstream]) -> Present:
    """Count the upstreams that are listed and not leaving."""
    serving = [row for row in rows if not row.leaving]
    return Present(
        Counter(row.data_centre for row in serving if row.reclaimable),
        Counter(row.data_centre for row in serving if not row.reclaimable),
    )


def needed_upstreams(
    engine: EngineLimits,
    running: int,
    prompt_rate: float,
    there: int,
) -> float:
    """Return the engines that a load keeps busy with answers in time.

    ``prompt_rate`` is in prompt tokens a second. What waits beyond the slots
    of the engines that are there tells of a jam, not of a lasting need.
    """
    served = min(running, there * engine.slots)
    decoding = served / (engine.slots * GOOD_BATCH)
    return decoding + prompt_rate / (PREFILL_RATE * GOOD_PREFILL)


def plan_orders(
    service: str,
    scaling: Scaling,
    orders: ServiceOrders,
    present: Present,
    now: float,
) -> list[Order]:
    """Return the orders to send now, most urgent first."""
    places = sorted(scaling.prices, key=lambda place: scaling.prices[place])
    orders.first_count = orders.first_count or present.total()
    wanted = _spread(_target(orders, len(places)), places, scaling)
    bridge = _bridge(orders, present, places, scaling, now)
    _note_reached(orders, present)
    planned: list[Order] = []
    for place in places:
        planned.extend(
            _place_orders(
                Order(service, place, reclaimable=True, count=wanted[place]),
                bridge[place],
                scaling,
                orders,
                present,
            ),
        )
    return [
        order
        for order in planned
        if _is_due(order, orders, now)
        and (
            orders.in_force.get(order.subject) != order.count
            or _is_without_effect(order, orders, present, scaling, now)
        )
    ]


def note_accepted(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that an order is in force."""
    orders.in_force[order.subject] = order.count
    orders.ordered_at[order.subject] = now
    orders.reached.discard(order.subject)


def note_refused(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that a data centre has none to give at the moment."""
    orders.refused_until[order.data_centre] = now + REFUSED_SECONDS


def _target(orders: ServiceOrders, places: int) -> int:
    needed = max(orders.demand.peak, orders.first_count * FIRST_FACTOR)
    lost = places // LOST_PART
    return ceil(needed * places / max(1, places - lost))


def _spread(
    target: int,
    places: list[str],
    scaling: Scaling,
) -> dict[str, int]:
    """Give each place as many, so that none is worth more than another."""
    each = ceil(target / max(1, len(places)))
    count = max(scaling.least, min(scaling.most, each))
    return dict.fromkeys(places, count)


def _note_reached(orders: ServiceOrders, present: Present) -> None:
    orders.reached.update(
        subject
        for subject, count in orders.in_force.items()
        if present.count(subject) >= count
    )


def _bridge(
    orders: ServiceOrders,
    present: Present,
    places: list[str],
    scaling: Scaling,
    now: float,
) -> dict[str, int]:
    """Return the others that must stay or come, by data centre."""
    missing = _missing(orders, present, now)
    bridge: dict[str, int] = {}
    for place in places:
        room = scaling.most - present.reclaimable[place]
        bridge[place] = max(0, min(room, missing))
        missing -= bridge[place]
    return bridge


def _missing(orders: ServiceOrders, present: Present, now: float) -> int:
    """Return how many others the fleet needs beside reclaimable ones."""
    peak = orders.demand.peak
    there = present.reclaimable.total()
    missing = ceil(peak * BRIDGE_PART) - there
    if orders.is_scarce(now):
        largest = max(present.reclaimable.values(), default=0)
        ahead = round(peak * AHEAD_PART) - (there - largest)
        missing = max(missing, ahead)
    ordered = sum(
        count for (_, kind), count in orders.in_force.items() if not kind
    )
    if 0 < ordered - missing <= ordered * SWING_PART:
        return ordered
    return missing


def _place_orders(
    wanted: Order,
    bridge: int,
    scaling: Scaling,
    orders: ServiceOrders,
    present: Present,
) -> list[Order]:
    place = wanted.data_centre
    others = orders.in_force.get((place, False), present.others[place])
    room = scaling.most - max(others, present.others[place])
    reclaimable = Order(
        wanted.service,
        place,
        reclaimable=True,
        count=max(0, min(wanted.count, room)),
    )
    # Others that serve stay until reclaimable ones do; none is ordered where
    # a place lost its reclaimable ones and the rest of the fleet is enough.
    least = scaling.least - present.reclaimable[place]
    keep = max(bridge, min(present.others[place], least))
    if others >= scaling.most:
        # A full place takes no reclaimable upstream until one has left.
        keep = min(keep, others - 1)
    replacing = Order(
        wanted.service,
        place,
        reclaimable=False,
        count=max(0, keep),
    )
    return [replacing, reclaimable]


def _is_due(order: Order, orders: ServiceOrders, now: float) -> bool:
    if not order.reclaimable:
        return True
    if not order.count and order.subject not in orders.in_force:
        return False
    return now >= orders.refused_until.get(order.data_centre, 0)


def _is_without_effect(
    order: Order,
    orders: ServiceOrders,
    present: Present,
    scaling: Scaling,
    now: float,
) -> bool:
    """Tell whether ordered upstreams did not come, or went since."""
    if present.count(order.subject) >= order.count:
        return False
    if order.subject in orders.reached:
        return True
    waited = now - orders.ordered_at.get(order.subject, now)
    return waited > scaling.boot_seconds + REPEAT_SECONDS
