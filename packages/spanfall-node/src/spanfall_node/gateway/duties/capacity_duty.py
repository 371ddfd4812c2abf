"""Order the upstreams that the load of the fleet needs."""

import logging
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.known.configuration import ServedService
from spanfall_core.gateway.known.fleet import Counts
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.demand import (
    OfferedLoad,
    capacity_lost_to_limits,
    needed_upstreams,
    restore_demand,
)
from spanfall_core.gateway.orders.orders import (
    Order,
    ServiceOrders,
    count_serving,
    record_accepted,
    record_refused,
)

from spanfall_node.gateway.duties.duties import Cloud
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds between two plans: a notice of two seconds is half the boot time.
PLAN_PERIOD = 0.25
#: Seconds after which a new home knows all upstreams and all load.
SETTLE_SECONDS = 3.0
#: The same for the first home of a fleet, which takes nothing over.
FIRST_SETTLE_SECONDS = 0.5
#: Seconds over which rates are averaged.
RATE_SECONDS = 2.0


@dataclass(slots=True)
class Rate:
    """Measure by how much a second a count of each service grows."""

    counted: Counts = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    at: float = 0

    def learn(self, counted: Counts, now: float) -> None:
        """Take new sums; the rate follows them with a delay."""
        passed = now - self.at
        for service, total in counted.items():
            known = self.counted.get(service, total)
            part = min(1.0, passed / RATE_SECONDS)
            rate = max(0, total - known) / max(passed, 0.01)
            old = self.rates.get(service, 0)
            self.rates[service] = old + part * (rate - old)
        self.counted = counted
        self.at = now


class CapacityDuty:
    """Keep the orders of each service in line with its load."""

    def __init__(self, state: GatewayState, cloud: Cloud) -> None:
        """Use the tables of the node and the cloud."""
        self._state = state
        self._cloud = cloud
        self._epoch = 0
        #: When the time as home began that the orders are of.
        self._began_at: float | None = None
        self._orders: dict[str, ServiceOrders] = {}
        self._reading = Rate()
        self._asked = Rate()

    async def run(self) -> None:
        """Plan and order until cancelled."""
        while True:
            await anyio.sleep(PLAN_PERIOD)
            if self._state.tenure is not None:
                await self._step()

    async def _step(self) -> None:
        state = self._state
        tenure = state.tenure
        self._epoch = tenure.epoch
        if self._began_at != tenure.began_at:
            self._began_at = tenure.began_at
            self._orders = {}
            self._reading = Rate()
            self._asked = Rate()
        if state.configuration is None:
            return
        now = state.timers.now()
        self._reading.learn(state.fleet.read_work(), now)
        self._asked.learn(dict(state.grant_book.first_attempts), now)
        for service in state.configuration.services.values():
            if service.scaling is not None and service.engine is not None:
                await self._serve_service(service, now)

    async def _serve_service(
        self,
        service: ServedService,
        now: float,
    ) -> None:
        state = self._state
        orders = self._orders_of(service.name, now)
        rows = [
            row
            for row in state.directory.rows.values()
            if row.service == service.name
        ]
        self._learn_demand(service, orders, now)
        state.needs[service.name] = orders.demand.peak
        present = count_serving(rows)
        grown_at = state.directory.last_added_at(service.name)
        orders.demand.record_initial_count(present.total(), grown_at, now)
        settle = SETTLE_SECONDS
        if state.tenure.is_first:
            settle = FIRST_SETTLE_SECONDS
        settled = now - state.tenure.began_at >= settle
        if not rows or not settled or not self._cloud.may_act():
            return
        planned = plan_orders(
            service.name,
            service.scaling,
            orders,
            present,
            now,
        )
        for order in planned:
            await self._send(order, orders)

    def _orders_of(self, service: str, now: float) -> ServiceOrders:
        """Return the orders of a service, at first as the last home left it."""
        known = self._orders.get(service)
        if known is None:
            demand = restore_demand(self._state.needs.get(service, 0), now)
            known = ServiceOrders(demand)
            self._orders[service] = known
        return known

    def _learn_demand(
        self,
        service: ServedService,
        orders: ServiceOrders,
        now: float,
    ) -> None:
        state = self._state
        running = state.fleet.running(now)
        there = [
            row.lifetime
            for row in state.directory.rows.values()
            if row.service == service.name
        ]
        mine = sum(running.get(lifetime, 0) for lifetime in there)
        load = OfferedLoad(mine, self._reading.rates.get(service.name, 0))
        speed = state.prompts.speed(service.name)
        needed = needed_upstreams(service.engine, load, speed, len(there))
        limits = state.words.table.rates
        orders.capacity_lost = capacity_lost_to_limits(
            (limits[lifetime] for lifetime in there if lifetime in limits),
            needed,
            self._asked.rates.get(service.name, 0),
        )
        orders.demand.record_need(needed, now)

    async def _send(self, order: Order, orders: ServiceOrders) -> None:
        state = self._state
        call = state.platform.cloud.order_upstreams(
            state.cfg.node,
            self._epoch,
            order.service,
            order.data_centre,
            order.count,
            order.reclaimable,
        )
        status = await self._cloud.call('order', call)
        now = state.timers.now()
        if status == 200:
            record_accepted(order, orders, now)
        elif status == 409:
            record_refused(order, orders, now)
        logger.info(
            'Ordered %s, status %s; peak demand %.1f, %s found, reading %s',
            order,
            status,
            orders.demand.peak,
            orders.demand.initial_count,
            state.prompts.speeds.get(order.service),
        )
