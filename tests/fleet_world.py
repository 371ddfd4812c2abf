"""Play orders of upstreams against a small model of a fleet, in virtual time.

The model holds what decides whether orders are good: engines that take
requests and read prompts, the time to boot, reclaims of a data centre's
reclaimable upstreams with a notice, and dry spells in which none are to be
had. Requests are a flow, so that a day takes milliseconds.
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

PLACES = {'north': 1.0, 'south': 0.8, 'east': 1.25, 'west': 0.9}
#: Bounds and prices as of a deployment with four data centres.
SCALING = Scaling(1, 5, boot_seconds=4, reclaimable_price=0.22, prices=PLACES)
#: An engine as fast as the deployments' fastest: with ``FULL_LOAD`` requests
#: running and ``FULL_WORK`` tokens to read a second, six are busy.
ENGINE = EngineLimits(slots=24, cache_tokens=700_000)
SPEED = PrefillSpeed(0.03, 110_000)
FULL_LOAD = 60
FULL_WORK = 170_000
#: Engines without which answers of that load come late.
BUSY_ENGINES = 6
STEP = 0.25
NOTICE = 2.5

#: Part of the full load at a time.
Pattern = Callable[[float], float]


@dataclass(slots=True)
class FleetWorld:
    """Hold a fleet, what is ordered and what came of it."""

    pattern: Pattern
    now: float = 0
    orders: ServiceOrders = field(default_factory=ServiceOrders)
    rows: dict[str, ListedUpstream] = field(default_factory=dict)
    #: When those that were ordered serve, and when those that leave go.
    boots: dict[str, float] = field(default_factory=dict)
    goes: dict[str, float] = field(default_factory=dict)
    dry_until: float = 0
    settles_at: float = 0
    #: Seconds that an engine was missing, and price of all seconds.
    late: float = 0
    price: float = 0
    #: Orders sent, and those that took back one of the last boot time
    #: while the load was the same.
    sent: list = field(default_factory=list)
    reversals: int = 0
    _numbers: count = field(default_factory=count)

    def start(self, others: int) -> None:
        """List what the operator runs, spread over the data centres."""
        for number in range(others):
            self._add(sorted(PLACES)[number % len(PLACES)], reclaimable=False)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._move()
            self._plan()
            self._measure()

    def reclaim(self, place: str, dry: float) -> None:
        """Take back a data centre's reclaimable ones; none for a while."""
        self.dry_until = max(self.dry_until, self.now + dry)
        for key, row in self.rows.items():
            if row.reclaimable and row.data_centre == place:
                self.goes.setdefault(key, self.now + NOTICE)

    def lose_home(self) -> None:
        """Let another node take over, which knows only what is there."""
        self.orders = ServiceOrders()
        self.settles_at = self.now + SETTLE_SECONDS

    def serving(self, *, reclaimable: bool | None = None) -> int:
        return sum(
            1
            for key, row in self.rows.items()
            if key not in self.boots
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

    def _move(self) -> None:
        for gone in self._due(self.goes):
            self.goes.pop(gone)
            self.rows.pop(gone)
            self.boots.pop(gone, None)
        for booted in self._due(self.boots):
            self.boots.pop(booted)

    def _due(self, times: dict[str, float]) -> list[str]:
        return [key for key, at in times.items() if at <= self.now]

    def _plan(self) -> None:
        part = self.pattern(self.now)
        load = OfferedLoad(FULL_LOAD * part, FULL_WORK * part)
        needed = needed_upstreams(ENGINE, load, SPEED, self.serving())
        listed = [
            row
            for key, row in self.rows.items()
            if key not in self.boots and key not in self.goes
        ]
        present = count_serving(listed)
        demand = self.orders.demand
        demand.record_need(needed, self.now)
        demand.record_initial_count(present.total(), self.now, self.now)
        if self.now < self.settles_at:
            return
        planned = plan_orders('llm', SCALING, self.orders, present, self.now)
        for order in planned:
            self._take(order)

    def _take(self, order) -> None:
        place, reclaimable = order.key
        have = [
            key
            for key, row in self.rows.items()
            if (row.data_centre, row.reclaimable) == order.key
            and key not in self.goes
        ]
        missing = order.count - len(have)
        if missing > 0 and reclaimable and self.now < self.dry_until:
            record_refused(order, self.orders, self.now)
            return
        self._note(order, missing)
        record_accepted(order, self.orders, self.now)
        for _ in range(missing):
            key = self._add(place, reclaimable=reclaimable)
            self.boots[key] = self.now + SCALING.boot_seconds
        for key in have[order.count :]:
            self.goes[key] = self.now

    def _note(self, order, missing: int) -> None:
        recent = [
            change
            for at, subject, change in self.sent
            if subject == order.key and self.now - at < SCALING.boot_seconds
        ]
        if any(change * missing < 0 for change in recent):
            self.reversals += 1
        self.sent.append((self.now, order.key, missing))

    def _measure(self) -> None:
        busy = BUSY_ENGINES * self.pattern(self.now)
        short = max(0, busy - self.serving())
        self.late += STEP * short / max(1, busy)
        for row in self.rows.values():
            price = PLACES[row.data_centre]
            if row.reclaimable:
                price *= SCALING.reclaimable_price
            self.price += STEP * price


def count_kinds(world: FleetWorld) -> Counter:
    """Count what serves, by kind."""
    return Counter(
        'reclaimable' if row.reclaimable else 'other'
        for key, row in world.rows.items()
        if key not in world.boots
    )
