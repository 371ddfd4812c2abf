"""Track, as the home, which shared prompt parts get how many copies."""

import logging

from spanfall_core.gateway.known.prefix_heat import PrefixHeat
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.copies import (
    USEFUL_UTILISATION,
    record_heat,
    tokens_read_again,
)
from spanfall_core.gateway.routing.estimates import RoutingRequest

from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.speeds import LOG_PERIOD, is_on

logger = logging.getLogger(__name__)

#: Maximum number of parts in one log line.
MAX_LOGGED = 5
#: Kinds of reading a shared part again, used as metric labels.
PAID = 'paid'
EXCESS = 'excess'


def tracked_heat(state: GatewayState, service: str) -> PrefixHeat | None:
    """Return the heat of the parts of a service, if copies are limited."""
    return state.granted_prompts.track_heat(
        service, is_on=is_on(state, service)
    )


def record_choice(
    state: GatewayState,
    heat: PrefixHeat,
    request: RoutingRequest,
    choice: Choice,
) -> None:
    """Record the work of a request, and the parts that are read again for it.

    The parts of the request do not count as held by the upstream yet.
    """
    prompts, upstream = state.granted_prompts, choice.upstream
    rate = prompts.speed(upstream.service).rate
    seconds = choice.prefill / rate
    now = state.timers.now()
    record_heat(heat, request, upstream.slots, seconds, rate, now)
    again = tokens_read_again(prompts.prefixes, upstream.lifetime, request)
    counter = state.counters.scheduling.shared_tokens_read_again
    counter.labels(EXCESS).inc(choice.excess)
    counter.labels(PAID).inc(max(0, again - choice.excess))


def log_hot_parts(state: GatewayState, now: float) -> None:
    """Log the parts that need several upstreams, from time to time."""
    for service, heat in state.granted_prompts.heats.items():
        if now - heat.logged_at < LOG_PERIOD:
            continue
        heat.logged_at = now
        needs = (
            (part_heat / USEFUL_UTILISATION, part_id)
            for part_heat, part_id in heat.hottest(MAX_LOGGED, now)
        )
        hot = [f'{part_id} {need:.1f}' for need, part_id in needs if need > 1]
        if hot:
            logger.info(
                'Shared prompt parts of %s that need several upstreams, with '
                'their number: %s',
                service,
                ', '.join(hot),
            )
