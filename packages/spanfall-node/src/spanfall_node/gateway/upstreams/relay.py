"""Send an admitted request to upstreams and relay the response.

One entry owns an attempt from its first byte to its last. It knows for certain
what was sent where, so at-most-once delivery needs no record elsewhere.
"""

import logging
from dataclasses import dataclass
from functools import partial

import anyio
from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.grants import RetryAfter
from spanfall_core.gateway.routing.sends import (
    MAX_UNSENT,
    RETRY_REASONS,
    NextStep,
    SendOutcome,
    next_step,
)
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.links.contention_messages import Rejection
from spanfall_node.gateway.links.crash_messages import RunStage
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.requests.refusals import (
    NOT_RUN_RETRY_SECONDS,
    EndsUpstreamsError,
    RefusedError,
    final_refusal,
)
from spanfall_node.gateway.tables.counters import ResumedBy
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    RESPONSE_MARGIN_SECONDS,
    Answered,
    Exchange,
    Failed,
    count_run,
    relay_buffered,
)
from spanfall_node.gateway.upstreams.choosing import (
    choose_or_wait,
    has_untried,
    seconds_until_backoff_ends,
)
from spanfall_node.gateway.upstreams.crash_watch import CrashDetector
from spanfall_node.gateway.upstreams.grants import GrantClient
from spanfall_node.gateway.upstreams.held_requests import refusal_of
from spanfall_node.gateway.upstreams.resuming import (
    check_origin,
    record_resumption,
)
from spanfall_node.gateway.upstreams.sending import send

logger = logging.getLogger(__name__)

#: Retry-After seconds for a suspect request that waited for its trial.
TRIAL_RETRY_SECONDS = 0.5
#: Retry-After seconds for a held request: before that, the platform's list can
#: hardly show whether its upstreams have ended.
HELD_RETRY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class UpstreamAccess:
    """Hold what this node needs to reach upstreams."""

    pool: ConnectionPool
    grants: GrantClient
    crash_detector: CrashDetector


async def serve(
    state: GatewayState,
    access: UpstreamAccess,
    admitted: AdmittedRequest,
    caller: CallerConnection,
) -> None:
    """Serve one admitted request until its response ends.

    Raises:
        RefusedError: the request has not run, or its outcome is unknown;
            nothing was relayed.
        CallerGoneError: the caller disconnected.
    """
    exchange = Exchange(admitted, caller)
    record_resumption(state, admitted)
    seconds_left = (
        admitted.deadline - state.timers.now() - RESPONSE_MARGIN_SECONDS
    )
    exchange.scope.deadline = anyio.current_time() + max(0, seconds_left)
    with exchange.scope:
        await _send_until_answered(state, access, exchange)
    if exchange.scope.cancelled_caught:
        await _handle_deadline(state, exchange)


async def _handle_deadline(state: GatewayState, exchange: Exchange) -> None:
    if exchange.started:
        await _abort_response(state, exchange, 'timeout')
        return
    if exchange.sends.sends:
        count_run(state, exchange.admitted)
        raise RefusedError(504, RefusalReason.DEADLINE)
    raise RefusedError(503, RefusalReason.DEADLINE, NOT_RUN_RETRY_SECONDS)


async def _abort_response(
    state: GatewayState, exchange: Exchange, reason: str
) -> None:
    state.counters.cut_answers.labels(reason).inc()
    logger.warning(
        'Cut the answer to %s: %s; the caller sees it as unfinished',
        exchange.admitted.attempt_id,
        reason,
    )
    exchange.caller.closing = True
    exchange.caller.gone = True
    await exchange.caller.abort()


async def _send_until_answered(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
) -> None:
    while True:
        choice = await choose_or_wait(state, access.grants, exchange)
        if choice is None or isinstance(choice, RetryAfter):
            await _end_without_upstream(state, exchange, choice)
            return
        if isinstance(choice, Rejection):
            raise refusal_of(exchange, choice)
        if isinstance(choice, Standing):
            await _end_unsendable(state, exchange, choice)
            return
        send_result = await _send_and_check_crash(
            state, access, exchange, choice
        )
        if isinstance(send_result, Answered):
            return
        if not await _should_send_again(state, exchange, choice, send_result):
            return


async def _end_unsendable(
    state: GatewayState,
    exchange: Exchange,
    standing: Standing,
) -> None:
    """End a request that may not be sent, or not now."""
    if exchange.sends.may_have_run:
        count_run(state, exchange.admitted)
    if exchange.started:
        await _abort_response(state, exchange, RefusalReason.ENDS_UPSTREAMS)
        return
    if standing is Standing.QUARANTINED:
        raise EndsUpstreamsError(exchange.admitted.identity)
    if exchange.sends.may_have_run:
        raise final_refusal(NextStep.ANSWER_UNKNOWN)
    seconds = TRIAL_RETRY_SECONDS
    if standing is Standing.HELD:
        seconds = HELD_RETRY_SECONDS
    raise RefusedError(503, RefusalReason.TRIED_LATER, seconds)


async def _send_and_check_crash(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request; check for a crash if the connection breaks."""
    identity = exchange.admitted.identity
    standing = state.crashes.standing(identity, state.timers.now())
    is_watched = choice.is_watched or standing is not Standing.FREE
    detector = access.crash_detector
    report_run = partial(detector.report_run, identity)
    if is_watched:
        exchange.on_response_start = partial(report_run, RunStage.BEGAN)
    exchange.check_still_runs = partial(detector.still_runs, choice.upstream)
    send_result = await _send_or_queue_probe(state, access, exchange, choice)
    if (
        isinstance(send_result, Failed)
        and send_result.outcome is SendOutcome.BROKEN
    ):
        if not await detector.check_broken_send(identity, choice.upstream):
            send_result.weight = 0
    elif is_watched:
        is_complete = isinstance(send_result, Answered)
        await report_run(
            RunStage.COMPLETE if is_complete else RunStage.INCOMPLETE
        )
    return send_result


async def _send_or_queue_probe(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request; queue a probe of its upstream if it is cancelled."""
    send_result: Answered | Failed | None = None
    began_at = state.timers.now()
    try:
        send_result = await send(state, access.pool, exchange, choice)
    finally:
        if send_result is None:
            access.crash_detector.queue_unanswered(
                exchange.admitted.identity,
                choice.upstream,
                max(began_at, exchange.timings.last_at),
            )
    return send_result


async def _end_without_upstream(
    state: GatewayState,
    exchange: Exchange,
    retry_after: RetryAfter | None,
) -> None:
    if exchange.started:
        await _abort_response(state, exchange, 'no upstream is left')
    elif exchange.sends.may_have_run:
        raise final_refusal(NextStep.ANSWER_UNKNOWN)
    elif retry_after is None:
        raise final_refusal(NextStep.ANSWER_NOT_RUN)
    else:
        raise RefusedError(
            503,
            RefusalReason.UPSTREAMS_LIMITED,
            retry_after.seconds,
        )


async def _should_send_again(
    state: GatewayState,
    exchange: Exchange,
    choice: Choice,
    failed: Failed,
) -> bool:
    """Record a failed send; return whether to send the request again."""
    admitted = exchange.admitted
    exchange.tried.add(choice.upstream.lifetime)
    check_origin(state, exchange, choice.upstream)
    if failed.weight:
        now = state.timers.now()
        state.loads.fail(choice.upstream.lifetime, now, failed.weight)
    step = next_step(
        failed.outcome,
        admitted.route,
        exchange.sends,
        partial(_spend_retry, state, exchange),
    )
    logger.info(
        'Request %s at %s ended %s after %s events: %s; next: %s; identity %s',
        admitted.attempt_id,
        choice.upstream.lifetime,
        failed.outcome,
        exchange.events.events,
        failed.reason,
        step,
        admitted.identity,
    )
    if step is NextStep.SEND_AGAIN:
        state.counters.retries.labels(RETRY_REASONS[failed.outcome]).inc()
        if exchange.started:
            state.counters.resumed_streams.labels(ResumedBy.ENTRY).inc()
        return True
    await _end_failed(state, exchange, failed, step)
    return False


def _spend_retry(state: GatewayState, exchange: Exchange) -> bool:
    if not has_untried(state, exchange):
        return False
    if not exchange.sends.sends:
        return len(exchange.tried) < MAX_UNSENT
    now = state.timers.now()
    return state.retries.try_spend(exchange.admitted.service, now)


async def _end_failed(
    state: GatewayState,
    exchange: Exchange,
    failed: Failed,
    step: NextStep,
) -> None:
    if step is not NextStep.ANSWER_NOT_RUN:
        count_run(state, exchange.admitted)
    if exchange.started:
        await _abort_response(state, exchange, failed.reason)
        return
    if step is NextStep.RELAY and failed.response is not None:
        await relay_buffered(state, exchange, failed.response)
        return
    backoff = seconds_until_backoff_ends(state, exchange.admitted.service)
    if step is NextStep.ANSWER_NOT_RUN and backoff is not None:
        raise RefusedError(503, RefusalReason.UPSTREAMS_LIMITED, backoff)
    raise final_refusal(step)
