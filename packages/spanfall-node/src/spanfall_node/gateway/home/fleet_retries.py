"""Show on the home what all entries retry beside what the fleet may."""

import logging

from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


def observe_retries(state: GatewayState, now: float) -> None:
    """Set the gauges of retries; log a service that exceeds its budget."""
    limits, counters = state.retries.limits, state.counters
    counters.fleet_retries.clear()
    counters.fleet_retries_allowed.clear()
    for service, sums in state.fleet.retries(limits.window, now).items():
        allowed = limits.allowed(sums.requests)
        counters.fleet_retries.labels(service).set(sums.retries)
        counters.fleet_retries_allowed.labels(service).set(allowed)
        if sums.retries <= allowed:
            continue
        if state.fleet.should_note_excess(service, limits.window, now):
            logger.warning(
                'Retry budget of service %s exceeded: %g retries in %g s by '
                'the reports of all entries, %g allowed for %g requests',
                service,
                sums.retries,
                limits.window,
                allowed,
                sums.requests,
            )
