"""Choose an upstream for a request, now or after a wait that pays."""

import anyio
from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import RetryAfter

from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Exchange
from spanfall_node.gateway.upstreams.grants import Grants, Outcome

#: Seconds that a suspect waits for its trial while another one is tried: as
#: long as a trial whose upstream says nothing. Then it may come back.
TRIAL_WAIT_SECONDS = 1.5
TRIAL_STEP = 0.05
#: Part of a route's target that a request waits for its turn at an upstream
#: with a limit: a refusal later than that helps its caller no more.
TURN_WAIT_PART = 0.25
#: Seconds to a turn at the least: where many upstreams are limited one comes
#: each moment, and each look for it is a question to the home.
TURN_STEP = 0.02


async def choose_or_wait(
    state: GatewayState,
    grants: Grants,
    exchange: Exchange,
) -> Outcome:
    """Choose an upstream; wait where that serves the caller better.

    A suspect waits a while for its trial, and a request that an upstream's own
    limit or back-off keeps back waits where its turn comes within a part of its
    target.
    """
    work = exchange.work
    began_at = state.timers.now()
    turn_until = work.began_at + work.route.target * TURN_WAIT_PART
    while True:
        ask = _ask(state, exchange)
        choice = await grants.choose(work.service, ask)
        choice = _after_backoff(state, work.service, ask, choice)
        now = state.timers.now()
        if choice is Standing.SUSPECT:
            seconds, until = TRIAL_STEP, began_at + TRIAL_WAIT_SECONDS
        elif isinstance(choice, RetryAfter):
            choice = RetryAfter(max(TURN_STEP, choice.seconds))
            seconds, until = choice.seconds, turn_until
        else:
            return choice
        if now + seconds > until:
            return choice
        await anyio.sleep(seconds)


def _ask(state: GatewayState, exchange: Exchange) -> RoutingRequest:
    work = exchange.work
    return RoutingRequest(
        work.attempt_id,
        state.cfg.data_centre,
        work.parts,
        work.prompt_tokens,
        frozenset(exchange.tried),
        work.identity,
        state.words.backoffs.newest(state.timers.now()),
    )


def _after_backoff(
    state: GatewayState,
    service: str,
    ask: RoutingRequest,
    choice: Outcome,
) -> Outcome:
    """Say when to come back where only a back-off keeps a request from serving."""
    if choice is not None and not isinstance(choice, RetryAfter):
        return choice
    rows = state.directory.serving(service)
    untried = (row.lifetime for row in rows if row.lifetime not in ask.tried)
    backoff = state.words.backoffs.seconds_until_first_end(
        untried, state.timers.now()
    )
    if backoff is None:
        return choice
    return RetryAfter(
        backoff if choice is None else min(backoff, choice.seconds)
    )


def wait_for_any(state: GatewayState, service: str) -> float | None:
    """Return the seconds until the first back-off ends, if all are avoided."""
    now = state.timers.now()
    lifetimes = [row.lifetime for row in state.directory.serving(service)]
    if state.words.backoffs.active(now) >= set(lifetimes):
        return state.words.backoffs.seconds_until_first_end(lifetimes, now)
    return None
