"""Send an admitted request to upstreams and relay the response.

One entry owns an attempt from its first byte to its last. It knows for certain
what was sent where, so at-most-once delivery needs no record elsewhere.
"""

import logging
from functools import partial

import anyio
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.crashes.traits import part_traits
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.grants import RetryAfter
from spanfall_core.gateway.routing.sends import (
    RETRY_REASONS,
    NextStep,
    next_step,
)
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.links.contention_messages import Rejection
from spanfall_node.gateway.net.errors import CallerGoneError
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.requests.refusals import (
    DRAINING_RETRY_SECONDS,
    NOT_RUN_RETRY_SECONDS,
    EndsUpstreamsError,
    RefusedError,
    final_refusal,
    internal_refusal,
)
from spanfall_node.gateway.tables.counters import ResumeOutcome
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    RESPONSE_MARGIN_SECONDS,
    Answered,
    Exchange,
    Failed,
    abort_response,
    count_run,
    relay_buffered,
)
from spanfall_node.gateway.upstreams.choosing import (
    choose_or_wait,
    reserve_retry,
    seconds_until_backoff_ends,
)
from spanfall_node.gateway.upstreams.held_requests import refusal_of
from spanfall_node.gateway.upstreams.resuming import (
    check_origin,
    refusal_without_upstream,
    resolve_origin,
)
from spanfall_node.gateway.upstreams.watched_sends import (
    UpstreamAccess,
    send_and_check_crash,
)

logger = logging.getLogger(__name__)

#: Retry-After seconds for a suspect request that waited for its trial.
TRIAL_RETRY_SECONDS = 0.5
#: Retry-After seconds for a held request: before that, the platform's list can
#: hardly show whether its upstreams have ended.
HELD_RETRY_SECONDS = 2.0


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
    seconds_left = (
        admitted.deadline - state.timers.now() - RESPONSE_MARGIN_SECONDS
    )
    exchange.scope.deadline = anyio.current_time() + max(0, seconds_left)
    try:
        with state.shutdown.bounded(exchange.scope):
            await resolve_origin(state, access.origins, exchange)
            state.retries.record_request(admitted.service, state.timers.now())
            await _send_until_answered(state, access, exchange)
    except (RefusedError, CallerGoneError):
        raise
    except Exception:
        logger.exception(
            'Unexpected error in request %s after %s sends',
            admitted.attempt_id,
            exchange.sends.sends,
        )
        await _end_unexpectedly(state, exchange)
    finally:
        if exchange.has_reserved_retry:
            state.retries.release(admitted.service)
    if exchange.scope.cancelled_caught:
        await _handle_deadline(state, exchange)


async def _handle_deadline(state: GatewayState, exchange: Exchange) -> None:
    reason = RefusalReason.DEADLINE
    retry_after = NOT_RUN_RETRY_SECONDS
    if state.shutdown.is_due:
        reason = RefusalReason.NODE_DRAINING
        retry_after = DRAINING_RETRY_SECONDS
    if exchange.started:
        is_stopping = reason is RefusalReason.NODE_DRAINING
        await abort_response(
            state, exchange, reason if is_stopping else 'timeout'
        )
        return
    if exchange.sends.sends:
        count_run(state, exchange.admitted)
        raise RefusedError(504, reason)
    raise RefusedError(503, reason, retry_after)


async def _end_unexpectedly(state: GatewayState, exchange: Exchange) -> None:
    """End a request after an unexpected error."""
    if exchange.started:
        await abort_response(state, exchange, RefusalReason.INTERNAL_ERROR)
        return
    if exchange.sends.sends:
        count_run(state, exchange.admitted)
    raise internal_refusal(may_have_run=bool(exchange.sends.sends))


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
        send_result = await send_and_check_crash(
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
        await abort_response(state, exchange, RefusalReason.ENDS_UPSTREAMS)
        return
    if standing is Standing.QUARANTINED:
        traits = exchange.admitted.traits
        now = state.timers.now()
        refused = state.crashes.table.verdicts.refused(traits, now)
        raise EndsUpstreamsError(refused or traits)
    if exchange.sends.may_have_run:
        raise final_refusal(NextStep.ANSWER_UNKNOWN)
    seconds = TRIAL_RETRY_SECONDS
    if standing is Standing.HELD:
        seconds = HELD_RETRY_SECONDS
    raise RefusedError(503, RefusalReason.TRIED_LATER, seconds)


async def _end_without_upstream(
    state: GatewayState,
    exchange: Exchange,
    retry_after: RetryAfter | None,
) -> None:
    if exchange.started:
        await abort_response(state, exchange, 'no upstream is left')
    elif exchange.sends.may_have_run:
        raise final_refusal(NextStep.ANSWER_UNKNOWN)
    elif retry_after is None:
        raise refusal_without_upstream(state, exchange)
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
    exchange.retry_decision = None
    step = next_step(
        failed.outcome,
        admitted.route,
        exchange.sends,
        partial(reserve_retry, state, exchange),
    )
    logger.info(
        'Request %s at %s ended %s after %s events: %s; next: %s; '
        'retry of service %s: %s; identity %s; prompt %s',
        admitted.attempt_id,
        choice.upstream.lifetime,
        failed.outcome,
        exchange.events.events,
        failed.reason,
        step,
        admitted.service,
        exchange.retry_decision or 'not asked for',
        admitted.identity,
        ' '.join(part_traits(admitted.parts)) or 'without shared parts',
    )
    if step is NextStep.SEND_AGAIN:
        state.counters.retries.labels(RETRY_REASONS[failed.outcome]).inc()
        if exchange.started:
            state.counters.resumed_streams.labels(
                ResumeOutcome.WITHIN_RESPONSE
            ).inc()
        return True
    await _end_failed(state, exchange, failed, step)
    return False


async def _end_failed(
    state: GatewayState,
    exchange: Exchange,
    failed: Failed,
    step: NextStep,
) -> None:
    if step is not NextStep.ANSWER_NOT_RUN:
        count_run(state, exchange.admitted)
    if exchange.started:
        await abort_response(state, exchange, failed.outcome, failed.reason)
        return
    if step is NextStep.RELAY and failed.response is not None:
        await relay_buffered(state, exchange, failed.response)
        return
    backoff = seconds_until_backoff_ends(state, exchange.admitted.service)
    if step is NextStep.ANSWER_NOT_RUN and backoff is not None:
        raise RefusedError(503, RefusalReason.UPSTREAMS_LIMITED, backoff)
    raise final_refusal(step)
