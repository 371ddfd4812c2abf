"""Measure at the home what the value of upstreams depends on."""

import logging
from collections.abc import Sequence

from spanfall_core.gateway.known.configuration import ServedService
from spanfall_core.gateway.known.fleet import Counts
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.demand import (
    TARGET_PREFILL_UTILIZATION,
    OfferedLoad,
)
from spanfall_core.gateway.orders.offered_work import (
    busy_engines,
    offered_prefill_rate,
    request_times,
)
from spanfall_core.gateway.orders.orders import Order
from spanfall_core.gateway.orders.reclaims import (
    SeenReclaims,
    restore_reclaims,
)
from spanfall_core.gateway.orders.valued_capacity import Valuation

from spanfall_node.gateway.duties.rates import RateEstimator
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.speeds import present_speed

logger = logging.getLogger(__name__)

#: Time constant of the rate of work, in seconds: none beyond a planning run,
#: as the forecast averages it.
WORK_AVERAGE_SECONDS = 0.25
#: Busy engines from which a service counts as loaded.
MIN_BUSY_ENGINES = 0.1


class Valuations:
    """Hold the valuation of each service for one tenure of the home."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        self._valuations: dict[str, Valuation] = {}
        self._work_rates = RateEstimator(average_seconds=WORK_AVERAGE_SECONDS)
        self._mean_work_rates = RateEstimator()
        self._request_rates = RateEstimator()
        self._rejected_rates = RateEstimator()

    def of(self, service: str, now: float) -> Valuation:
        """Return a service's valuation, from what the last home knew on."""
        valuation = self._valuations.get(service)
        if valuation is None:
            seen = self._state.reclaims.get(service, SeenReclaims())
            valuation = Valuation(reclaims=restore_reclaims(seen, now))
            need = self._state.needs.get(service, 0)
            if need:
                valuation.forecast.restore(
                    need * TARGET_PREFILL_UTILIZATION, now
                )
            self._valuations[service] = valuation
        return valuation

    def update_rates(self, work: Counts, requests: Counts, now: float) -> None:
        """Update the rates from the totals of work and of requests."""
        self._work_rates.update(work, now)
        self._mean_work_rates.update(work, now)
        self._request_rates.update(requests, now)
        rejected = {
            service: row.rejected_total
            for service, row in self._state.contention.services.items()
        }
        self._rejected_rates.update(rejected, now)

    def update(
        self,
        service: ServedService,
        rows: Sequence[ListedUpstream],
        now: float,
    ) -> None:
        """Update the valuation of a service from what all entries reported."""
        state = self._state
        valuation = self.of(service.name, now)
        running = state.fleet.running(now)
        load = OfferedLoad(
            sum(running.get(row.lifetime, 0) for row in rows),
            offered_prefill_rate(
                self._work_rates.rates.get(service.name, 0),
                self._request_rates.rates.get(service.name, 0),
                self._rejected_rates.rates.get(service.name, 0),
            ),
        )
        lifetimes = [row.lifetime for row in rows]
        speed = present_speed(state, service.name, lifetimes)
        busy = busy_engines(service.engine, load, speed, len(rows))
        if valuation.forecast.level or busy >= MIN_BUSY_ENGINES:
            valuation.forecast.record(busy, service.scaling.boot_seconds, now)
        target = state.configuration.tightest_target(service.name)
        valuation.times = request_times(
            target,
            self._mean_work_rates.rates.get(service.name, 0),
            self._request_rates.rates.get(service.name, 0),
            speed,
        )

    def report(
        self, service: str, planned: Sequence[Order], now: float
    ) -> None:
        """Log why a plan changes counts; update metrics and what is handed on."""
        valuation = self._valuations[service]
        need = valuation.need
        state = self._state
        seen = valuation.reclaims.seen(now)
        if seen.counts:
            state.reclaims[service] = seen
        figures = {
            'busy': valuation.forecast.level,
            'expected': valuation.forecast.expected,
            'error': valuation.forecast.error,
            'reclaimable': need.reclaimable,
            'on-demand': need.on_demand,
            'after-loss': need.after_loss,
        }
        for figure, value in figures.items():
            state.counters.scheduling.capacity.labels(service, figure).set(
                value
            )
        for seen_in, count in valuation.reclaims.counts.items():
            state.counters.scheduling.reclaims.labels(service, seen_in).set(
                count
            )
        if not planned:
            return
        logger.info(
            'Upstreams of %s: %.1f busy, %.1f expected, error %.2f; worth their price: %s '
            'reclaimable, %s on demand; %s to remain after a loss; reclaimable '
            'targets %s, expected prices %s, reclaims %s; %s',
            service,
            valuation.forecast.level,
            valuation.forecast.expected,
            valuation.forecast.error,
            need.reclaimable,
            need.on_demand,
            need.after_loss,
            valuation.targets,
            {
                data_centre: round(price, 3)
                for data_centre, price in valuation.prices.items()
            },
            dict(valuation.reclaims.counts),
            valuation.times,
        )
