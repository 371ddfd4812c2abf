"""Order the upstreams that the fleet's load requires."""

import logging

import anyio
from spanfall_core.gateway.known.configuration import ServedService
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
    ServingCounts,
    count_serving,
    record_accepted,
    record_refused,
)
from spanfall_core.gateway.orders.valued_capacity import plan_valued_orders

from spanfall_node.gateway.duties.duties import CloudClient
from spanfall_node.gateway.duties.rates import RateEstimator
from spanfall_node.gateway.duties.valuations import Valuations
from spanfall_node.gateway.tables.scheduling import Feature
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.speeds import present_speed

logger = logging.getLogger(__name__)

#: Seconds between two planning runs. Reclaim notices of two seconds are half
#: the boot time of an upstream, so the replacement must be ordered quickly.
PLAN_PERIOD = 0.25
#: Seconds until a new home has received all upstreams and all load.
SETTLE_SECONDS = 3.0
#: The same for the first home of a fleet, which has no predecessor.
FIRST_SETTLE_SECONDS = 0.5


class CapacityPlanner:
    """Order upstreams for each service according to its load."""

    def __init__(self, state: GatewayState, cloud: CloudClient) -> None:
        """Use the state of the node and the cloud client."""
        self._state = state
        self._cloud = cloud
        self._epoch = 0
        #: Start of the tenure that the orders belong to.
        self._tenure_began_at: float | None = None
        self._orders: dict[str, ServiceOrders] = {}
        self._prefill_rates = RateEstimator()
        self._request_rates = RateEstimator()
        self._valuations = Valuations(state)

    async def run(self) -> None:
        """Plan and place orders until cancelled."""
        while True:
            await anyio.sleep(PLAN_PERIOD)
            if self._state.tenure is not None:
                await self._step()

    async def _step(self) -> None:
        state = self._state
        tenure = state.tenure
        self._epoch = tenure.epoch
        if self._tenure_began_at != tenure.began_at:
            self._tenure_began_at = tenure.began_at
            self._orders = {}
            self._prefill_rates = RateEstimator()
            self._request_rates = RateEstimator()
            self._valuations = Valuations(state)
        if state.configuration is None:
            return
        services = state.configuration.services
        state.reclaims = {
            name: seen
            for name, seen in state.reclaims.items()
            if name in services
        }
        now = state.timers.now()
        work = state.fleet.read_work()
        requests = dict(state.grant_book.first_attempts)
        self._prefill_rates.update(work, now)
        self._request_rates.update(requests, now)
        self._valuations.update_rates(work, requests, now)
        for service in services.values():
            if service.scaling is not None and service.engine is not None:
                await self._plan_service(service, now)

    async def _plan_service(
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
        self._update_demand(service, orders, now)
        state.needs[service.name] = orders.demand.peak
        present = count_serving(rows)
        grown_at = state.directory.last_added_at(service.name)
        orders.demand.record_initial_count(present.total(), grown_at, now)
        settle = SETTLE_SECONDS
        if state.tenure.is_first:
            settle = FIRST_SETTLE_SECONDS
        settled = now - state.tenure.began_at >= settle
        if settled:
            self._valuations.update(service, rows, now)
        if not rows or not settled or not self._cloud.may_act():
            return
        for order in self._plan(service, orders, present, now):
            await self._send(order, orders)

    def _plan(
        self,
        service: ServedService,
        orders: ServiceOrders,
        present: ServingCounts,
        now: float,
    ) -> list[Order]:
        """Return the orders of the planner that is in force."""
        name, scaling = service.name, service.scaling
        if not self._state.scheduling.is_on(Feature.CAPACITY, name):
            return plan_orders(name, scaling, orders, present, now)
        valuation = self._valuations.of(name, now)
        planned = plan_valued_orders(
            name, scaling, orders, valuation, present, now
        )
        self._valuations.report(name, planned, now)
        return planned

    def _orders_of(self, service: str, now: float) -> ServiceOrders:
        """Return a service's orders, starting from the last home's demand."""
        service_orders = self._orders.get(service)
        if service_orders is None:
            demand = restore_demand(self._state.needs.get(service, 0), now)
            service_orders = ServiceOrders(demand)
            self._orders[service] = service_orders
        return service_orders

    def _update_demand(
        self,
        service: ServedService,
        orders: ServiceOrders,
        now: float,
    ) -> None:
        state = self._state
        running = state.fleet.running(now)
        lifetimes = [
            row.lifetime
            for row in state.directory.rows.values()
            if row.service == service.name
        ]
        running_requests = sum(
            running.get(lifetime, 0) for lifetime in lifetimes
        )
        load = OfferedLoad(
            running_requests, self._prefill_rates.rates.get(service.name, 0)
        )
        speed = present_speed(state, service.name, lifetimes)
        needed = needed_upstreams(service.engine, load, speed, len(lifetimes))
        limits = state.words.table.rates
        orders.capacity_lost = capacity_lost_to_limits(
            (limits[lifetime] for lifetime in lifetimes if lifetime in limits),
            needed,
            self._request_rates.rates.get(service.name, 0),
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
            'Ordered %s, status %s; peak demand %.1f, initially %s upstreams, '
            'prefill speed %s',
            order,
            status,
            orders.demand.peak,
            orders.demand.initial_count,
            state.prompts.speeds.get(order.service),
        )
