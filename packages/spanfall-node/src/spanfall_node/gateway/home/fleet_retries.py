"""Show on the home what all entries retry beside what the fleet may."""

import logging

from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


def observe_retries(state: GatewayState, now: float) -> None:
    """Set the gauges of retries; log a service that exceeds its budget."""
    limits, fleet = state.retries.limits, state.fleet.retries
    for service, sent in fleet.services.items():
        retries = sent.retries.recent(limits.window, now)
        requests = sent.requests.recent(limits.window, now)
        allowed = limits.allowed(requests)
        state.counters.fleet_retries.labels(service).set(retries)
        state.counters.fleet_retries_allowed.labels(service).set(allowed)
        is_excess = retries > allowed
        if is_excess and fleet.should_note_excess(service, limits.window, now):
            logger.warning(
                'Retry budget of service %s exceeded: %g retries in %g s by '
                'the reports of all entries, %g allowed for %g requests',
                service,
                retries,
                limits.window,
                allowed,
                requests,
            )
