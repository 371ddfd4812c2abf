"""Track the orders for upstreams that are in force, and their results."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import Scaling
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.demand import Demand, SlidingMaximum

#: Seconds after a refusal until a data centre is asked again.
REFUSAL_BACKOFF_SECONDS = 3.0
#: Seconds beyond the boot time after which an unfulfilled order is sent
#: again.
RESEND_DELAY_SECONDS = 3.0

OrderKey = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class Order:
    """Order a number of upstreams of one kind in one data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def key(self) -> OrderKey:
        """Return the data centre and the kind, which identify an order."""
        return self.data_centre, self.reclaimable


@dataclass(slots=True)
class ServiceOrders:
    """Hold the orders in force for one service and their refusals.

    Data centres refuse only orders for reclaimable upstreams.
    """

    demand: Demand = field(default_factory=Demand)
    in_force: dict[OrderKey, int] = field(default_factory=dict)
    ordered_at: dict[OrderKey, float] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)
    #: Orders whose upstreams have all been present since.
    fulfilled: set[OrderKey] = field(default_factory=set)
    #: Reclaimable upstreams to run in each data centre, and all upstreams that
    #: the load needs.
    reclaimable_targets: SlidingMaximum = field(default_factory=SlidingMaximum)
    needed_counts: SlidingMaximum = field(default_factory=SlidingMaximum)
    last_target: int = 0
    #: Capacity, in upstreams, that rate limits of upstreams cost now. It is not
    #: held for long, as these limits are short-lived.
    capacity_lost: float = 0
    #: Time at which an order was last increased.
    increased_at: dict[OrderKey, float] = field(default_factory=dict)

    def is_scarce(self, now: float) -> bool:
        """Return whether any data centre recently refused an order.

        A refusal counts until the answer to the next order, so that no upstream
        is stopped while that order is under way.
        """
        return any(
            self.is_refused(data_centre, now)
            for data_centre in self.refused_until
        )

    def is_refused(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre recently refused an order."""
        until = self.refused_until.get(data_centre)
        return until is not None and now < until + REFUSAL_BACKOFF_SECONDS


@dataclass(frozen=True, slots=True)
class ServingCounts:
    """Hold the number of serving upstreams of each kind, by data centre."""

    reclaimable: Counter[str]
    on_demand: Counter[str]
    #: Reclaimable ones that the platform has given notice to.
    noticed: Counter[str] = field(default_factory=Counter)

    def total(self) -> int:
        """Return the number of all serving upstreams."""
        return self.reclaimable.total() + self.on_demand.total()

    def count(self, key: OrderKey) -> int:
        """Return the number of upstreams of one kind in one data centre."""
        data_centre, reclaimable = key
        return (self.reclaimable if reclaimable else self.on_demand)[
            data_centre
        ]


def count_serving(rows: Iterable[ListedUpstream]) -> ServingCounts:
    """Count the upstreams that accept new work."""
    known = list(rows)
    serving = [row for row in known if row.is_serving]
    return ServingCounts(
        Counter(row.data_centre for row in serving if row.reclaimable),
        Counter(row.data_centre for row in serving if not row.reclaimable),
        Counter(
            row.data_centre
            for row in known
            if row.reclaimable and row.leaves_in is not None
        ),
    )


def record_accepted(order: Order, orders: ServiceOrders, now: float) -> None:
    """Record that an order was accepted and is in force."""
    if order.count > orders.in_force.get(order.key, order.count):
        orders.increased_at[order.key] = now
    orders.in_force[order.key] = order.count
    orders.ordered_at[order.key] = now
    orders.fulfilled.discard(order.key)


def record_refused(order: Order, orders: ServiceOrders, now: float) -> None:
    """Record that a data centre has no reclaimable upstreams available."""
    orders.refused_until[order.data_centre] = now + REFUSAL_BACKOFF_SECONDS


def record_fulfilled(orders: ServiceOrders, serving: ServingCounts) -> None:
    """Record which orders in force have been fulfilled."""
    orders.fulfilled.update(
        key
        for key, count in orders.in_force.items()
        if serving.count(key) >= count
    )


def is_due(order: Order, orders: ServiceOrders, now: float) -> bool:
    """Return whether an order may have an effect if sent now."""
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
    """Return whether an order cannot stop upstreams that are still booting.

    A new home has no record of the orders of the previous home. Until those
    upstreams have booted, it only sends orders for more than are present.
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
    """Return whether ordered upstreams did not appear or have left since."""
    if serving.count(order.key) >= order.count:
        return False
    if order.key in orders.fulfilled:
        return True
    waited = now - orders.ordered_at.get(order.key, now)
    return waited > scaling.boot_seconds + RESEND_DELAY_SECONDS
