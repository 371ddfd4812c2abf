"""Send a request to an upstream and watch whether that crashes."""

import logging
from dataclasses import dataclass
from functools import partial

from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.sends import SendOutcome

from spanfall_node.gateway.net.errors import CallerGoneError
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.requests.refusals import RefusedError
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Answered, Exchange, Failed
from spanfall_node.gateway.upstreams.crash_watch import CrashDetector
from spanfall_node.gateway.upstreams.grants import GrantClient
from spanfall_node.gateway.upstreams.run_watch import RunWatch
from spanfall_node.gateway.upstreams.sending import send
from spanfall_node.gateway.upstreams.stream_lookup import OriginClient

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class UpstreamAccess:
    """Hold what this node needs to reach upstreams."""

    pool: ConnectionPool
    grants: GrantClient
    crash_detector: CrashDetector
    origins: OriginClient


async def send_and_check_crash(
    state: GatewayState,
    access: UpstreamAccess,
    exchange: Exchange,
    choice: Choice,
) -> Answered | Failed:
    """Send a request; check for a crash if the connection breaks."""
    admitted, now = exchange.admitted, state.timers.now()
    detector = access.crash_detector
    standing = state.crashes.standing(admitted.traits, now)
    run = RunWatch(
        state,
        admitted,
        choice.upstream,
        detector.report_run,
        is_reported=choice.is_watched or standing is not Standing.FREE,
        is_trial=choice.is_trial,
        sent_at=now,
    )
    exchange.run = run
    exchange.check_still_runs = partial(detector.still_runs, choice.upstream)
    # Copies may hold an earlier grant of a stream that was tried elsewhere.
    is_first_grant = choice.is_granted and not exchange.tried
    home = state.home if is_first_grant else None
    exchange.announce_origin = partial(
        access.origins.announce, home.epoch if home else None
    )
    send_result = await _send_or_queue_probe(state, access, exchange, choice)
    if (
        isinstance(send_result, Failed)
        and send_result.outcome is SendOutcome.BROKEN
    ):
        if not await detector.check_broken_send(run.broken(), choice.upstream):
            send_result.weight = 0
    else:
        await run.finish(is_complete=isinstance(send_result, Answered))
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
    sends_before = exchange.sends.sends
    try:
        send_result = await send(state, access.pool, exchange, choice)
    except (RefusedError, CallerGoneError):
        raise
    except Exception as exc:
        logger.exception(
            'Unexpected error in a send of request %s to %s',
            exchange.admitted.attempt_id,
            choice.upstream.lifetime,
        )
        was_sent = exchange.sends.sends > sends_before
        send_result = _failed_unexpectedly(exc, was_sent=was_sent)
    finally:
        if send_result is None:
            access.crash_detector.queue_unanswered(
                exchange.run.broken(),
                choice.upstream,
                max(began_at, exchange.timings.last_at),
            )
    return send_result


def _failed_unexpectedly(exc: Exception, *, was_sent: bool) -> Failed:
    """Return the failure of a send that ended by an unexpected error.

    It counts against the upstream, so that others are chosen first.
    """
    outcome = SendOutcome.BROKEN if was_sent else SendOutcome.NOT_SENT
    return Failed(outcome, f'unexpected error: {exc!r}', weight=1)
