"""Hold the orders of upstreams that are in force, and what came of them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.demand import Demand, SlidingMaximum

#: Seconds after a refusal before a data centre is asked again.
REFUSAL_BACKOFF_SECONDS = 3.0
#: Seconds beyond the boot time after which an order without effect is
#: sent again.
RESEND_DELAY_SECONDS = 3.0

OrderKey = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class Order:
    """Ask for a number of upstreams of one kind in one data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def key(self) -> OrderKey:
        """Name what the order counts, within its service."""
        return self.data_centre, self.reclaimable


@dataclass(slots=True)
class ServiceOrders:
    """Hold the orders in force for one service and their refusals."""

    demand: Demand = field(default_factory=Demand)
    in_force: dict[OrderKey, int] = field(default_factory=dict)
    ordered_at: dict[OrderKey, float] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)
    #: What was ordered and has come since.
    fulfilled: set[OrderKey] = field(default_factory=set)
    #: Reclaimable ones wanted for each place, and upstreams needed in all.
    reclaimable_targets: SlidingMaximum = field(default_factory=SlidingMaximum)
    needed_counts: SlidingMaximum = field(default_factory=SlidingMaximum)
    last_target: int = 0
    #: Upstreams that the limits of some cost now; not kept for long, as those
    #: limits are not.
    capacity_lost: float = 0
    #: When more of a kind were ordered last.
    increased_at: dict[OrderKey, float] = field(default_factory=dict)

    def is_scarce(self, now: float) -> bool:
        """Tell whether any data centre refused reclaimable ones lately.

        It counts until the next answer is there, so that the moment of asking
        again sends nothing away.
        """
        return any(
            self.is_refused(data_centre, now)
            for data_centre in self.refused_until
        )

    def is_refused(self, data_centre: str, now: float) -> bool:
        """Tell whether a data centre refused reclaimable ones lately."""
        until = self.refused_until.get(data_centre)
        return until is not None and now < until + REFUSAL_BACKOFF_SECONDS


@dataclass(frozen=True, slots=True)
class ServingCounts:
    """Count the upstreams that serve now, by data centre."""

    reclaimable: Counter[str]
    on_demand: Counter[str]

    def total(self) -> int:
        """Return all upstreams that serve."""
        return self.reclaimable.total() + self.on_demand.total()

    def count(self, key: OrderKey) -> int:
        """Return the upstreams of one kind in one data centre."""
        data_centre, reclaimable = key
        return (self.reclaimable if reclaimable else self.on_demand)[
            data_centre
        ]


def count_serving(rows: Iterable[ListedUpstream]) -> ServingCounts:
    """Count the upstreams that may get new work."""
    serving = [row for row in rows if row.is_serving]
    return ServingCounts(
        Counter(row.data_centre for row in serving if row.reclaimable),
        Counter(row.data_centre for row in serving if not row.reclaimable),
    )


def record_accepted(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that an order is in force."""
    if order.count > orders.in_force.get(order.key, order.count):
        orders.increased_at[order.key] = now
    orders.in_force[order.key] = order.count
    orders.ordered_at[order.key] = now
    orders.fulfilled.discard(order.key)


def record_refused(order: Order, orders: ServiceOrders, now: float) -> None:
    """Note that a data centre has none to give at the moment."""
    orders.refused_until[order.data_centre] = now + REFUSAL_BACKOFF_SECONDS


def record_fulfilled(orders: ServiceOrders, serving: ServingCounts) -> None:
    """Note which orders were carried out in full."""
    orders.fulfilled.update(
        key
        for key, count in orders.in_force.items()
        if serving.count(key) >= count
    )


def is_due(order: Order, orders: ServiceOrders, now: float) -> bool:
    """Tell whether it makes sense to send an order now."""
    if not order.reclaimable:
        return True
    if not order.count and order.key not in orders.in_force:
        return False
    return now >= orders.refused_until.get(order.data_centre, 0)


def is_safe(
    order: Order,
    orders: ServiceOrders,
    serving: ServingCounts,
    scaling: Scaling,
    now: float,
) -> bool:
    """Tell whether an order cannot stop upstreams that are about to boot.

    A new home does not know what the home before has ordered, so it sends
    only more than what is there until that has booted.
    """
    if order.key in orders.in_force or orders.demand.is_idle():
        return True
    if order.count > serving.count(order.key):
        return True
    return now - orders.demand.initial_count_at > scaling.boot_seconds


def is_unfulfilled(
    order: Order,
    orders: ServiceOrders,
    serving: ServingCounts,
    scaling: Scaling,
    now: float,
) -> bool:
    """Tell whether ordered upstreams did not come, or went since."""
    if serving.count(order.key) >= order.count:
        return False
    if order.key in orders.fulfilled:
        return True
    waited = now - orders.ordered_at.get(order.key, now)
    return waited > scaling.boot_seconds + RESEND_DELAY_SECONDS
