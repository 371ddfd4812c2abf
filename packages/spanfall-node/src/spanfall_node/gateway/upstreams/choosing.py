"""Choose an upstream for a request, now or after a bounded wait."""

import anyio
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.stream_origins import StreamKey
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import RetryAfter
from spanfall_core.gateway.routing.sends import MAX_UNSENT

from spanfall_node.gateway.links.contention_messages import Rejection
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.tables.contention import HeldWait
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Exchange
from spanfall_node.gateway.upstreams.grants import ChoiceOutcome, GrantClient
from spanfall_node.gateway.upstreams.held_requests import (
    admission_terms,
    wait_for_turn,
)

#: Seconds that a suspect request waits while the trial of another one runs: as
#: long as a trial whose upstream sends nothing. Then the caller may retry.
TRIAL_WAIT_SECONDS = 1.5
#: Seconds between two attempts to begin the trial of a suspect request.
TRIAL_POLL_SECONDS = 0.05
#: Fraction of a route's latency target that a request waits for a permit of a
#: rate-limited upstream: a later refusal would no longer help the caller.
PERMIT_WAIT_FRACTION = 0.25
#: Minimum seconds of a wait for a permit. With many rate-limited upstreams a
#: permit is due at almost any moment, and each attempt is a request to the home.
MIN_PERMIT_WAIT_SECONDS = 0.02
#: Result of a choice after all waits.
SettledChoice = Choice | Rejection | RetryAfter | Standing | None


async def choose_or_wait(
    state: GatewayState,
    grants: GrantClient,
    exchange: Exchange,
) -> SettledChoice:
    """Choose an upstream; wait where that serves the caller better.

    A suspect request waits for its trial. A request that only an upstream's
    rate limit or back-off delays waits if that ends within a fraction of the
    route's latency target. A request that the home holds waits for its turn.
    """
    admitted = exchange.admitted
    began_at = state.timers.now()
    permit_wait_until = (
        admitted.began_at + admitted.route.target * PERMIT_WAIT_FRACTION
    )
    while exchange.is_continuable:
        routing_request = routing_request_of(state, exchange)
        terms = admission_terms(state, exchange)
        choice = await grants.choose(
            admitted.service,
            routing_request,
            terms,
            _own_stream(state, admitted),
        )
        choice = _retry_after_backoff(
            state, admitted.service, routing_request, choice
        )
        now = state.timers.now()
        if isinstance(choice, HeldWait):
            await wait_for_turn(state, exchange, choice)
            continue
        if choice is Standing.SUSPECT:
            seconds, until = TRIAL_POLL_SECONDS, began_at + TRIAL_WAIT_SECONDS
        elif isinstance(choice, RetryAfter):
            choice = RetryAfter(max(MIN_PERMIT_WAIT_SECONDS, choice.seconds))
            seconds, until = choice.seconds, permit_wait_until
        else:
            return choice
        if now + seconds > until:
            return choice
        await anyio.sleep(seconds)
    return None


def _own_stream(
    state: GatewayState, admitted: AdmittedRequest
) -> tuple[StreamKey, float] | None:
    """Return the key of a request's stream and for how long it is resumable."""
    if admitted.stream is None:
        return None
    seconds = admitted.resumable_until - state.timers.now()
    return admitted.stream, max(1, round(seconds))


def routing_request_of(
    state: GatewayState, exchange: Exchange
) -> RoutingRequest:
    """Return what the choice of the next upstream depends on."""
    admitted, origin = exchange.admitted, exchange.origin
    return RoutingRequest(
        admitted.attempt_id,
        state.cfg.data_centre,
        admitted.parts,
        admitted.prompt_tokens,
        frozenset(exchange.tried),
        admitted.identity,
        state.words.backoffs.newest(state.timers.now()),
        origin.software_version if origin else None,
    )


def reserve_retry(state: GatewayState, exchange: Exchange) -> bool:
    """Reserve a retry if an upstream is left; return whether there is one."""
    if not _has_untried(state, exchange):
        return False
    if not exchange.sends.sends:
        return len(exchange.tried) < MAX_UNSENT
    if exchange.has_reserved_retry:
        return True
    service = exchange.admitted.service
    decision = state.retries.try_reserve(service, state.timers.now())
    exchange.retry_decision = decision
    exchange.has_reserved_retry = decision.is_allowed
    if not decision.is_allowed:
        state.counters.denied_retries.labels(service).inc()
    return decision.is_allowed


def _has_untried(state: GatewayState, exchange: Exchange) -> bool:
    """Return whether an upstream is left that may be sent the request now."""
    if not exchange.is_continuable:
        return False
    routing_request = routing_request_of(state, exchange)
    backing_off = state.words.backoffs.active(state.timers.now())
    return any(
        routing_request.may_reach(row) and row.lifetime not in backing_off
        for row in state.directory.serving(exchange.admitted.service)
    )


def _retry_after_backoff(
    state: GatewayState,
    service: str,
    routing_request: RoutingRequest,
    choice: ChoiceOutcome,
) -> ChoiceOutcome:
    """Return when to retry if only back-offs prevent a choice."""
    if choice is not None and not isinstance(choice, RetryAfter):
        return choice
    rows = state.directory.serving(service)
    untried = (row.lifetime for row in rows if routing_request.may_reach(row))
    backoff = state.words.backoffs.seconds_until_first_end(
        untried, state.timers.now()
    )
    if backoff is None:
        return choice
    return RetryAfter(
        backoff if choice is None else min(backoff, choice.seconds)
    )


def seconds_until_backoff_ends(
    state: GatewayState, service: str
) -> float | None:
    """Return the seconds to the first back-off's end, if all are in one."""
    now = state.timers.now()
    lifetimes = [row.lifetime for row in state.directory.serving(service)]
    if state.words.backoffs.active(now) >= set(lifetimes):
        return state.words.backoffs.seconds_until_first_end(lifetimes, now)
    return None
