"""Simulate orders of upstreams on a small model of a fleet, in virtual time.

The model contains what determines the quality of orders: engines with a
request capacity and a prefill speed, boot times, reclaims of the reclaimable
upstreams of a data centre with a notice period, and shortages during which
none are available. Requests are modelled as a flow, so that a day takes
milliseconds.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from spanfall_core.gateway.known.configuration import EngineLimits, Scaling
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.demand import OfferedLoad, needed_upstreams
from spanfall_core.gateway.orders.orders import (
    ServiceOrders,
    count_serving,
    record_accepted,
    record_refused,
)
from spanfall_node.gateway.duties.capacity_duty import SETTLE_SECONDS

PRICES = {'north': 1.0, 'south': 0.8, 'east': 1.25, 'west': 0.9}
#: Bounds and prices of a deployment with four data centres.
SCALING = Scaling(1, 5, boot_seconds=4, reclaimable_price=0.22, prices=PRICES)
#: An engine as fast as the fastest of the deployments: ``FULL_LOAD`` running
#: requests and ``FULL_PREFILL_TOKENS`` prompt tokens per second occupy six.
ENGINE = EngineLimits(slots=24, cache_tokens=700_000)
SPEED = PrefillSpeed(0.03, 110_000)
FULL_LOAD = 60
FULL_PREFILL_TOKENS = 170_000
#: Number of engines needed to serve the full load without delay.
REQUIRED_ENGINES = 6
STEP_SECONDS = 0.25
NOTICE_SECONDS = 2.5

#: Maps a time to the fraction of the full load.
Pattern = Callable[[float], float]


@dataclass(slots=True)
class FleetSimulation:
    """Simulate a fleet and its orders, and measure the results."""

    pattern: Pattern
    planner: Callable = plan_orders
    now: float = 0
    orders: ServiceOrders = field(default_factory=ServiceOrders)
    rows: dict[str, ListedUpstream] = field(default_factory=dict)
    #: Times at which ordered upstreams start to serve and leaving ones go.
    serves_at: dict[str, float] = field(default_factory=dict)
    departs_at: dict[str, float] = field(default_factory=dict)
    shortage_until: float = 0
    settles_at: float = 0
    #: Seconds weighted by the missing fraction of the engines, and total price.
    late: float = 0
    price: float = 0
    #: Orders sent, and the number of those that reversed an order sent within
    #: the last boot time.
    sent: list = field(default_factory=list)
    reversals: int = 0
    _numbers: count = field(default_factory=count)

    def start(self, others: int) -> None:
        """Add the operator's own upstreams, spread over the data centres."""
        for number in range(others):
            self._add(sorted(PRICES)[number % len(PRICES)], reclaimable=False)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self._advance()
            self._plan()
            self._measure()

    def reclaim(self, place: str, shortage: float) -> None:
        """Reclaim the reclaimable upstreams of a data centre; start a shortage."""
        self.shortage_until = max(self.shortage_until, self.now + shortage)
        for key, row in self.rows.items():
            if row.reclaimable and row.data_centre == place:
                self.departs_at.setdefault(key, self.now + NOTICE_SECONDS)

    def lose_home(self) -> None:
        """Let another node take over, which has only the list of upstreams."""
        self.orders = ServiceOrders()
        self.settles_at = self.now + SETTLE_SECONDS

    def serving(self, *, reclaimable: bool | None = None) -> int:
        return sum(
            1
            for key, row in self.rows.items()
            if key not in self.serves_at
            and (reclaimable is None or row.reclaimable == reclaimable)
        )

    def _add(self, place: str, *, reclaimable: bool) -> str:
        key = f'u-{next(self._numbers)}'
        self.rows[key] = ListedUpstream(
            key,
            'llm',
            '',
            place,
            ENGINE.slots,
            reclaimable=reclaimable,
        )
        return key

    def _advance(self) -> None:
        for gone in self._due(self.departs_at):
            self.departs_at.pop(gone)
            self.rows.pop(gone)
            self.serves_at.pop(gone, None)
        for booted in self._due(self.serves_at):
            self.serves_at.pop(booted)

    def _due(self, times: dict[str, float]) -> list[str]:
        return [key for key, at in times.items() if at <= self.now]

    def _plan(self) -> None:
        part = self.pattern(self.now)
        load = OfferedLoad(FULL_LOAD * part, FULL_PREFILL_TOKENS * part)
        needed = needed_upstreams(ENGINE, load, SPEED, self.serving())
        listed = [
            row
            for key, row in self.rows.items()
            if key not in self.serves_at and key not in self.departs_at
        ]
        present = count_serving(listed)
        demand = self.orders.demand
        demand.record_need(needed, self.now)
        demand.record_initial_count(present.total(), self.now, self.now)
        if self.now >= self.settles_at:
            args = 'llm', SCALING, self.orders, present, self.now
            for order in self.planner(*args):
                self._execute(order)

    def _execute(self, order) -> None:
        place, reclaimable = order.key
        held = [
            key
            for key, row in self.rows.items()
            if (row.data_centre, row.reclaimable) == order.key
            and key not in self.departs_at
        ]
        missing = order.count - len(held)
        if missing > 0 and reclaimable and self.now < self.shortage_until:
            record_refused(order, self.orders, self.now)
            return
        self._record(order, missing)
        record_accepted(order, self.orders, self.now)
        for _ in range(missing):
            key = self._add(place, reclaimable=reclaimable)
            self.serves_at[key] = self.now + SCALING.boot_seconds
        for key in held[order.count :]:
            self.departs_at[key] = self.now

    def _record(self, order, missing: int) -> None:
        recent = [
            change
            for at, subject, change in self.sent
            if subject == order.key and self.now - at < SCALING.boot_seconds
        ]
        if any(change * missing < 0 for change in recent):
            self.reversals += 1
        self.sent.append((self.now, order.key, missing))

    def _measure(self) -> None:
        busy = REQUIRED_ENGINES * self.pattern(self.now)
        short = max(0, busy - self.serving())
        self.late += STEP_SECONDS * short / max(1, busy)
        for row in self.rows.values():
            price = PRICES[row.data_centre]
            if row.reclaimable:
                price *= SCALING.reclaimable_price
            self.price += STEP_SECONDS * price


def count_kinds(world: FleetSimulation) -> Counter:
    """Count the serving upstreams by kind."""
    return Counter(
        'reclaimable' if row.reclaimable else 'other'
        for key, row in world.rows.items()
        if key not in world.serves_at
    )
