"""Tell from the routes to a service how long its callers wait."""

from collections.abc import Iterable

from spanfall_core.gateway.known.configuration import (
    Route,
    ServedConfiguration,
    ServedService,
)

#: Callers that wait for less than this many latency targets are impatient: a
#: queue of a few targets makes them leave, so their requests are lost instead
#: of late.
PATIENT_TARGETS = 8.0


def impatient_services(configuration: ServedConfiguration) -> frozenset[str]:
    """Return the services with engines whose most urgent callers don't wait.

    Their requests compete for room as soon as there is a queue. Other services
    serve their urgent callers late, but in time.
    """
    return frozenset(
        service.name
        for service in configuration.services.values()
        if _is_impatient(service, configuration.routes)
    )


def _is_impatient(service: ServedService, routes: Iterable[Route]) -> bool:
    if service.engine is None:
        return False
    served = [
        route
        for route in routes
        if any(share.service == service.name for share in route.shares)
    ]
    most_urgent = min((route.priority for route in served), default=0)
    waits = [
        route.timeout / route.target
        for route in served
        if route.priority == most_urgent and route.target
    ]
    return bool(waits) and max(waits) < PATIENT_TARGETS
