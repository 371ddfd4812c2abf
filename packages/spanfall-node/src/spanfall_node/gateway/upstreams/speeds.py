"""Measure, exchange and use the speed of single upstreams, where it is on."""

import logging
from collections.abc import Iterable, Sequence
from itertools import islice

from spanfall_core.gateway.known.engine_model import (
    PrefillSpeed,
    prefill_work,
)
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.upstream_speeds import (
    Factors,
    SpeedSample,
    effective_upstreams,
)
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.estimates import UpstreamLoads
from spanfall_core.gateway.routing.uneven_loads import UnevenLoads

from spanfall_node.gateway.tables.scheduling import Feature
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds between two log lines with the factors of upstreams.
LOG_PERIOD = 5.0
#: Maximum number of slow and of fast upstreams in one log line.
MAX_LOGGED = 5
#: Sources of samples, used as metric labels.
STATED = 'stated'
MEASURED = 'measured'
RECEIVED = 'received'


def is_on(state: GatewayState, service: str) -> bool:
    """Return whether the speed of single upstreams of a service counts."""
    return state.scheduling.is_on(Feature.UPSTREAM_SPEEDS, service)


def loads_for(
    state: GatewayState, service: str, loads: UpstreamLoads
) -> UpstreamLoads:
    """Return the loads for a choice, with the speed of each upstream if on."""
    if is_on(state, service):
        return UnevenLoads(loads, state.upstream_speeds)
    return loads


def record_slowdown(
    state: GatewayState, upstream: ListedUpstream, slowdown: float
) -> None:
    """Record the slowdown that a response stated."""
    if not is_on(state, upstream.service):
        return
    state.counters.scheduling.speed_samples.labels(STATED).inc()
    state.upstream_speeds.record_slowdown(
        upstream.service, upstream.lifetime, slowdown, state.timers.now()
    )


def record_first_token(
    state: GatewayState, choice: Choice, tokens: int, seconds: float
) -> None:
    """Record the time to the first token of a prompt that did not queue.

    The prefill speed of the service is that on hosts that are as usual.
    """
    upstream = choice.upstream
    service = upstream.service
    if is_on(state, service):
        seconds = state.upstream_speeds.usual_seconds(
            upstream.lifetime, seconds, state.timers.now()
        )
        line = state.prompts.speed(service)
        _record_duration(
            state, upstream, seconds, line.seconds(prefill_work(tokens))
        )
    state.record_first_token(service, tokens, seconds)


def record_call(
    state: GatewayState, upstream: ListedUpstream, route: str, seconds: float
) -> None:
    """Record the duration of a call without a prompt."""
    if not is_on(state, upstream.service):
        return
    seconds = state.upstream_speeds.usual_seconds(
        upstream.lifetime, seconds, state.timers.now()
    )
    expected = state.call_durations.add(route, seconds)
    _record_duration(state, upstream, seconds, expected)


def present_speed(
    state: GatewayState, service: str, lifetimes: Sequence[Lifetime]
) -> PrefillSpeed:
    """Return the mean prefill speed of upstreams on their hosts as they are.

    Where the speed of single upstreams counts, that of the service is the one
    on hosts that are as usual.
    """
    speed = state.prompts.speed(service)
    if not (lifetimes and is_on(state, service)):
        return speed
    now = state.timers.now()
    effective = effective_upstreams(lifetimes, state.upstream_speeds, now)
    part = effective / len(lifetimes)
    return PrefillSpeed(speed.base / part, speed.rate * part)


def _record_duration(
    state: GatewayState,
    upstream: ListedUpstream,
    seconds: float,
    expected: float,
) -> None:
    """Record a duration, unless the request may have waited for a slot.

    An upstream may have ended while it did the work.
    """
    if upstream.lifetime not in state.directory.rows:
        return
    if state.loads.running_at(upstream.lifetime) > upstream.slots:
        return
    state.counters.scheduling.speed_samples.labels(MEASURED).inc()
    state.upstream_speeds.record_duration(
        upstream.service,
        upstream.lifetime,
        seconds,
        expected,
        state.timers.now(),
    )


def merge_samples(state: GatewayState, samples: Iterable[SpeedSample]) -> None:
    """Merge the samples of an entry, as the home."""
    now = state.timers.now()
    for sample in samples:
        row = state.directory.rows.get(sample.lifetime)
        if row is not None and is_on(state, row.service):
            state.counters.scheduling.speed_samples.labels(RECEIVED).inc()
            state.upstream_speeds.merge(row.service, sample, now)


def log_factors(state: GatewayState, now: float) -> None:
    """Log and export the extreme factors from time to time."""
    speeds = state.upstream_speeds
    if now - speeds.logged_at < LOG_PERIOD:
        return
    speeds.logged_at = now
    factors = speeds.factors_to_report(now)
    gauge = state.counters.scheduling.upstream_factors
    gauge.labels('slowest').set(max(factors.values(), default=1))
    gauge.labels('fastest').set(min(factors.values(), default=1))
    if factors:
        logger.info(
            'Duration of work relative to the usual, slowest upstreams: %s; '
            'fastest: %s',
            _list_factors(factors, -1),
            _list_factors(factors, 1),
        )


def _list_factors(factors: Factors, sign: int) -> str:
    """Return the first factors as text: the largest ones if the sign is -1."""
    ordered = sorted(factors.items(), key=lambda row: sign * row[1])
    listed = (
        f'{lifetime} {factor:.2f}'
        for lifetime, factor in islice(ordered, MAX_LOGGED)
        if (factor - 1) * sign < 0
    )
    return ', '.join(listed) or 'none'
