"""Send an admitted request to upstreams and relay the answer.

One entry owns an attempt from its first byte to its last, so what was sent
where is certain, and at most once needs no record elsewhere.
"""

import logging
from dataclasses import dataclass
from functools import partial

import anyio
from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.grants import RetryAfter
from spanfall_core.gateway.routing.sends import (
    RETRY_REASONS,
    NextStep,
    SendOutcome,
    next_step,
)
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.links.crash_messages import RunStage
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.requests.admission import Work
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.requests.refusals import (
    EndsUpstreamsError,
    RefusedError,
)
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    Answered,
    Exchange,
    Failed,
    count_run,
    relay_whole,
)
from spanfall_node.gateway.upstreams.choosing import (
    choose_or_wait,
    wait_for_any,
)
from spanfall_node.gateway.upstreams.crash_watch import CrashWatch
from spanfall_node.gateway.upstreams.grants import Grants
from spanfall_node.gateway.upstreams.sending import send

logger = logging.getLogger(__name__)

#: Seconds after which a caller may ask again where nothing ran.
RETRY_SECONDS = 0.2
#: Seconds kept for the answer at the end of a request's time.
ANSWER_SECONDS = 0.02
#: Seconds after which a suspect that waited for its trial may come back.
TRIAL_RETRY_SECONDS = 0.5
#: Seconds after which one that is held may come back: until then the platform's
#: list can hardly tell whether its upstreams have ended.
HELD_RETRY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class UpstreamAccess:
    """Hold what leads from this node to the upstreams."""

    pool: ConnectionPool
    grants: Grants
    crashes: CrashWatch


async def serve(
    state: GatewayState,
    access: UpstreamAccess,
    work: Work,
    caller: CallerConnection,
) -> None:
    """Serve one admitted request until its answer ends.

    Raises:
        RefusedError: nothing has run, or nobody knows; nothing was relayed.
        CallerGoneError: the caller left.
    """
    exchange = Exchange(work, caller)
    left = work.deadline - state.timers.now() - ANSWER_SECONDS
    scope = anyio.move_on_after(max(0, left))
    with scope:
        await _send_until_answered(state, access, exchange)
    if scope.cancelled_caught:
        await _run_out_of_time(state, exchange)


async def _run_out_of_time(state: GatewayState, exchange: Exchange) -> None:
    if exchange.started:
        await _cut(state, exchange, 'timeout')
        return
    if exchange.sends.sends:
        count_run(state, exchange.work)
        raise RefusedError(504, RefusalReason.DEADLINE)
    raise RefusedError(503, RefusalReason.DEADLINE, RETRY_SECONDS)


async def _cut(state: GatewayState, exchange: Exchange, reason: str) -> None:
    state.counters.cuts.labels(reason).inc()
    logger.warning(
        'Cut the answer to %s: %s; the caller sees it as unfinished',
        exchange.work.attempt_id,
        reason,
    )
    exchange.caller.closing = True
    exchange.caller.gone = True
    await exchange.caller.close_at_once()


async def _send_until_answered(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
) -> None:
    while True:
        choice = await choose_or_wait(state, access.grants, exchange)
        if choice is None or isinstance(choice, RetryAfter):
            await _end_with_nothing_left(state, exchange, choice)
            return
        if isinstance(choice, Standing):
            await _end_held(state, exchange, choice)
            return
        ended = await _send_watched(state, access, exchange, choice)
        if isinstance(ended, Answered):
            return
        if not await _goes_on(state, exchange, choice, ended):
            return


async def _end_held(
    state: GatewayState,
    exchange: Exchange,
    standing: Standing,
) -> None:
    """Answer a request that may not be sent, or not now."""
    if exchange.sends.may_have_run:
        count_run(state, exchange.work)
    if exchange.started:
        await _cut(state, exchange, RefusalReason.ENDS_UPSTREAMS)
        return
    if standing is Standing.QUARANTINED:
        raise EndsUpstreamsError(exchange.work.identity)
    if exchange.sends.may_have_run:
        raise _final_refusal(NextStep.ANSWER_UNKNOWN)
    seconds = TRIAL_RETRY_SECONDS
    if standing is Standing.HELD:
        seconds = HELD_RETRY_SECONDS
    raise RefusedError(503, RefusalReason.TRIED_LATER, seconds)


async def _send_watched(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request; find out whether its upstream ended under it."""
    identity = exchange.work.identity
    known = state.crashes.standing(identity, state.timers.now())
    is_watched = choice.is_watched or known is not Standing.FREE
    note_run = partial(access.crashes.note_run, identity)
    if is_watched:
        exchange.tell_began = partial(note_run, RunStage.BEGAN)
    ended = await _send_or_note(state, access, exchange, choice)
    if isinstance(ended, Failed) and ended.end is SendOutcome.BROKEN:
        await access.crashes.examine(identity, choice.upstream)
    elif is_watched:
        is_whole = isinstance(ended, Answered)
        await note_run(RunStage.WHOLE if is_whole else RunStage.OVER)
    return ended


async def _send_or_note(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request; note its upstream if the caller's time is over first."""
    ended: Answered | Failed | None = None
    began_at = state.timers.now()
    try:
        ended = await send(state, access.pool, exchange, choice)
    finally:
        if ended is None:
            access.crashes.note_unanswered(
                exchange.work.identity,
                choice.upstream,
                max(began_at, exchange.pace.last_at),
            )
    return ended


async def _end_with_nothing_left(
    state: GatewayState,
    exchange: Exchange,
    turn: RetryAfter | None,
) -> None:
    if exchange.started:
        await _cut(state, exchange, 'no upstream is left')
    elif exchange.sends.may_have_run:
        raise _final_refusal(NextStep.ANSWER_UNKNOWN)
    elif turn is None:
        raise _final_refusal(NextStep.ANSWER_NOT_RUN)
    else:
        raise RefusedError(
            503,
            RefusalReason.UPSTREAMS_LIMITED,
            turn.seconds,
        )


async def _goes_on(
    state: GatewayState,
    exchange: Exchange,
    choice: Choice,
    failed: Failed,
) -> bool:
    """Note a failed send; tell whether the request is sent again."""
    work = exchange.work
    exchange.tried.add(choice.upstream.lifetime)
    step = next_step(
        failed.end,
        work.route,
        exchange.sends,
        partial(_take_retry, state, exchange),
    )
    logger.info(
        'Request %s at %s ended %s: %s; next: %s; identity %s',
        work.attempt_id,
        choice.upstream.lifetime,
        failed.end,
        failed.reason,
        step,
        work.identity,
    )
    if step is NextStep.SEND_AGAIN:
        state.counters.retries.labels(RETRY_REASONS[failed.end]).inc()
        return True
    await _end_failed(state, exchange, failed, step)
    return False


def _take_retry(state: GatewayState, exchange: Exchange) -> bool:
    now = state.timers.now()
    serving = state.directory.serving(exchange.work.service)
    closed = exchange.tried | state.words.backoffs.active(now)
    if all(row.lifetime in closed for row in serving):
        return False
    return state.retries.try_spend(exchange.work.service, now)


async def _end_failed(
    state: GatewayState,
    exchange: Exchange,
    failed: Failed,
    step: NextStep,
) -> None:
    if step is not NextStep.ANSWER_NOT_RUN:
        count_run(state, exchange.work)
    if exchange.started:
        await _cut(state, exchange, failed.reason)
        return
    if step is NextStep.RELAY and failed.head is not None:
        await relay_whole(state, exchange, failed.head, failed.body)
        return
    backoff = wait_for_any(state, exchange.work.service)
    if step is NextStep.ANSWER_NOT_RUN and backoff is not None:
        raise RefusedError(503, RefusalReason.UPSTREAMS_LIMITED, backoff)
    raise _final_refusal(step)


def _final_refusal(step: NextStep) -> RefusedError:
    if step is NextStep.ANSWER_NOT_RUN:
        return RefusedError(503, RefusalReason.NO_UPSTREAM, RETRY_SECONDS)
    return RefusedError(502, RefusalReason.OUTCOME_UNKNOWN)
