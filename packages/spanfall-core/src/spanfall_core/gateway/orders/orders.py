"""Hold the orders of upstreams that are in force, and what came of them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.demand import Demand, HeldMost

#: Seconds after a refusal before a data centre is asked again.
REFUSED_SECONDS = 3.0
#: Seconds beyond the boot time after which an order without effect is
#: sent again.
REPEAT_SECONDS = 3.0

Subject = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class Order:
    """Ask for a number of upstreams of one kind in one data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def subject(self) -> Subject:
        """Name what the order counts, within its service."""
        return self.data_centre, self.reclaimable


@dataclass(slots=True)
class ServiceOrders:
    """Hold the orders in force for one service and their refusals."""

    demand: Demand = field(default_factory=Demand)
    in_force: dict[Subject, int] = field(default_factory=dict)
    ordered_at: dict[Subject, float] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)
    #: What was ordered and has come since.
    reached: set[Subject] = field(default_factory=set)
    #: Reclaimable ones wanted for each place, and upstreams needed in all.
    wanted: HeldMost = field(default_factory=HeldMost)
    needed: HeldMost = field(default_factory=HeldMost)
    last_wanted: int = 0
    #: Upstreams that the limits of some cost now; not kept for long, as those
    #: limits are not.
    lost: float = 0
    #: When more of a kind were ordered last.
    raised_at: dict[Subject, float] = field(default_factory=dict)

    def is_scarce(self, now: float) -> bool:
        """Tell whether any data centre refused reclaimable ones lately.

        It counts until the next answer is there, so that the moment of asking
        again sends nothing away.
        """
        return any(self.is_refused(place, now) for place in self.refused_until)

    def is_refused(self, place: str, now: float) -> bool:
        """Tell whether a data centre refused reclaimable ones lately."""
        until = self.refused_until.get(place)
        return until is not None and now < until + REFUSED_SECONDS


@dataclass(frozen=True, slots=True)
class Present:
    """Count the upstreams that serve now, by data centre."""

    reclaimable: Counter[str]
    others: Counter[str]

    def total(self) -> int:
        """Return all upstreams that serve."""
        return self.reclaimable.total() + self.others.total()

    def count(self, subject: Subject) -> int:
        """Return the upstreams of one kind in one data centre."""
        place, reclaimable = subject
        return (self.reclaimable if reclaimable else self.others)[place]


def count_present(rows: Iterable[ListedUpstream]) -> Present:
    """Count the upstreams that may get new work."""
    serving = [row for row in rows if row.is_serving]
    return Present(
        Counter(row.data_centre for row in serving if row.reclaimable),
        Counter(row.data_centre for row in serving if not row.reclaimable),
    )


def note_accepted(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that an order is in force."""
    if order.count > orders.in_force.get(order.subject, order.count):
        orders.raised_at[order.subject] = now
    orders.in_force[order.subject] = order.count
    orders.ordered_at[order.subject] = now
    orders.reached.discard(order.subject)


def note_refused(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that a data centre has none to give at the moment."""
    orders.refused_until[order.data_centre] = now + REFUSED_SECONDS


def note_reached(orders: ServiceOrders, present: Present) -> None:
    """Note which orders were carried out in full."""
    orders.reached.update(
        subject
        for subject, count in orders.in_force.items()
        if present.count(subject) >= count
    )


def is_due(order: Order, orders: ServiceOrders, now: float) -> bool:
    """Tell whether it makes sense to send an order now."""
    if not order.reclaimable:
        return True
    if not order.count and order.subject not in orders.in_force:
        return False
    return now >= orders.refused_until.get(order.data_centre, 0)


def is_certain(
    order: Order,
    orders: ServiceOrders,
    present: Present,
    scaling: Scaling,
    now: float,
) -> bool:
    """Tell whether an order cannot stop upstreams that are about to boot.

    A new home does not know what the home before has ordered, so it sends
    only more than what is there until that has booted.
    """
    if order.subject in orders.in_force or orders.demand.is_idle():
        return True
    if order.count > present.count(order.subject):
        return True
    return now - orders.demand.found_at > scaling.boot_seconds


def is_without_effect(
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
