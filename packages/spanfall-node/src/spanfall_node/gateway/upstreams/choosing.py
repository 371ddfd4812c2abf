"""Choose an upstream for a request, now or after a wait that pays."""

import anyio
from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.estimates import Ask
from spanfall_core.gateway.routing.grants import ComeBack

from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Exchange
from spanfall_node.gateway.upstreams.grants import ChoiceOutcome, GrantClient

#: Seconds that a suspect waits for its trial while another one is tried: as
#: long as a trial whose upstream says nothing. Then it may come back.
TRIAL_WAIT_SECONDS = 1.5
TRIAL_POLL_SECONDS = 0.05
#: Part of a route's target that a request waits for its turn at an upstream
#: with a limit: a refusal later than that helps its caller no more.
PERMIT_WAIT_FRACTION = 0.25
#: Seconds to a turn at the least: where many upstreams are limited one comes
#: each moment, and each look for it is a question to the home.
MIN_PERMIT_WAIT_SECONDS = 0.02


async def choose_or_wait(
    state: GatewayState,
    grants: GrantClient,
    exchange: Exchange,
) -> ChoiceOutcome:
    """Choose an upstream; wait where that serves the caller better.

    A suspect waits a while for its trial, and a request that an upstream's own
    limit or back-off keeps back waits where its turn comes within a part of its
    target.
    """
    admitted = exchange.admitted
    began_at = state.timers.now()
    permit_wait_until = (
        admitted.began_at + admitted.route.target * PERMIT_WAIT_FRACTION
    )
    while True:
        routing_request = _routing_request(state, exchange)
        choice = await grants.choose(admitted.service, routing_request)
        choice = _retry_after_backoff(
            state, admitted.service, routing_request, choice
        )
        now = state.timers.now()
        if choice is Standing.SUSPECT:
            seconds, until = TRIAL_POLL_SECONDS, began_at + TRIAL_WAIT_SECONDS
        elif isinstance(choice, ComeBack):
            choice = ComeBack(max(MIN_PERMIT_WAIT_SECONDS, choice.seconds))
            seconds, until = choice.seconds, permit_wait_until
        else:
            return choice
        if now + seconds > until:
            return choice
        await anyio.sleep(seconds)


def _routing_request(state: GatewayState, exchange: Exchange) -> Ask:
    admitted = exchange.admitted
    return Ask(
        admitted.attempt_id,
        state.cfg.data_centre,
        admitted.parts,
        admitted.prompt_tokens,
        frozenset(exchange.tried),
        admitted.identity,
        state.words.backoffs.named(state.timers.now()),
    )


def _retry_after_backoff(
    state: GatewayState,
    service: str,
    routing_request: Ask,
    choice: ChoiceOutcome,
) -> ChoiceOutcome:
    """Say when to come back where only a back-off keeps a request from serving."""
    if choice is not None and not isinstance(choice, ComeBack):
        return choice
    rows = state.directory.serving(service)
    untried = (
        row.lifetime
        for row in rows
        if row.lifetime not in routing_request.tried
    )
    backoff = state.words.backoffs.first_end(untried, state.timers.now())
    if backoff is None:
        return choice
    return ComeBack(backoff if choice is None else min(backoff, choice.seconds))


def seconds_until_backoff_ends(
    state: GatewayState, service: str
) -> float | None:
    """Return the seconds until the first back-off ends, if all are avoided."""
    now = state.timers.now()
    lifetimes = [row.lifetime for row in state.directory.serving(service)]
    if state.words.backoffs.active(now) >= set(lifetimes):
        return state.words.backoffs.first_end(lifetimes, now)
    return None
