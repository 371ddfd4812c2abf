"""Let another upstream continue a stream that one has begun."""

import logging

from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import StreamRecord
from spanfall_core.gateway.routing.sends import NextStep
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.links.origin_messages import OriginQuestion
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.requests.refusals import RefusedError, final_refusal
from spanfall_node.gateway.requests.resumption import (
    Resumption,
    max_stream_age,
)
from spanfall_node.gateway.tables.counters import ResumeOutcome
from spanfall_node.gateway.tables.known_streams import RouteAge
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Exchange
from spanfall_node.gateway.upstreams.granting import NO_HOME_RETRY_SECONDS
from spanfall_node.gateway.upstreams.stream_lookup import OriginClient

logger = logging.getLogger(__name__)

MS_PER_SECOND = 1000
#: Seconds by which the clock of an upstream's host may be behind.
CLOCK_MARGIN_SECONDS = 1.0


async def resolve_origin(
    state: GatewayState, origins: OriginClient, exchange: Exchange
) -> None:
    """Bind a request that resumes a stream to what began the stream.

    Raises:
        RefusedError: that is not known, or no longer serves the route.
    """
    admitted = exchange.admitted
    resumption = admitted.resumption
    if resumption is None:
        return
    lookup = await origins.find(_question(state, admitted, resumption))
    origin = lookup.origin
    outcome = lookup.outcome
    if origin is not None:
        outcome = _check_served(state, admitted, origin)
    state.counters.resumed_streams.labels(outcome).inc()
    logger.info(
        'Request %s of %s resumes the stream of attempt %s after event %s, '
        'which %s began: %s',
        admitted.attempt_id,
        admitted.route.name,
        resumption.first_attempt or None,
        resumption.last_event_id or None,
        origin,
        outcome,
    )
    if outcome is not ResumeOutcome.FOUND or origin is None:
        raise _refusal(outcome, origin)
    admitted.service = origin.service
    exchange.origin = origin


def _question(
    state: GatewayState, admitted: AdmittedRequest, resumption: Resumption
) -> OriginQuestion:
    return OriginQuestion(
        0,
        admitted.stream_of(resumption.first_attempt),
        admitted.route.name,
        admitted.resumable_until - state.timers.now(),
        max_stream_age(admitted.route),
    )


def _check_served(
    state: GatewayState, admitted: AdmittedRequest, origin: Origin
) -> ResumeOutcome:
    """Return whether an upstream can continue a stream on its route."""
    if not origin.is_known:
        return ResumeOutcome.UNKNOWN
    services = {share.service for share in admitted.route.shares}
    if origin.service in services and _is_served(state, origin):
        return ResumeOutcome.FOUND
    return ResumeOutcome.VERSION_GONE


def _is_served(state: GatewayState, origin: Origin) -> bool:
    return any(
        row.software_version == origin.software_version
        for row in state.directory.serving(origin.service)
    )


def _refusal(outcome: ResumeOutcome, origin: Origin | None) -> RefusedError:
    """Return the refusal of a request whose stream cannot continue.

    Only a home that follows a lost one can change the answer to a later
    attempt.
    """
    reason = RefusalReason.ORIGIN_UNKNOWN
    if outcome is ResumeOutcome.VERSION_GONE:
        reason = RefusalReason.VERSION_GONE
    retry_after = 0.0
    if outcome is ResumeOutcome.NO_HOME:
        retry_after = NO_HOME_RETRY_SECONDS
    return RefusedError(503, reason, retry_after, detail=f'{outcome}: {origin}')


def refusal_without_upstream(
    state: GatewayState, exchange: Exchange
) -> RefusedError:
    """Return the refusal of a request for which no upstream is left."""
    origin = exchange.origin
    if origin is None or _is_served(state, origin):
        return final_refusal(NextStep.ANSWER_NOT_RUN)
    return _refusal(ResumeOutcome.VERSION_GONE, origin)


async def bind_origin(
    state: GatewayState, exchange: Exchange, upstream: ListedUpstream
) -> None:
    """Bind a response to the software that sends its first event.

    What began the stream is recorded before its caller gets any of it.
    """
    if exchange.started:
        return
    if exchange.origin is None:
        exchange.origin = Origin(upstream.service, upstream.software_version)
    admitted = exchange.admitted
    if admitted.stream is None:
        return
    record = StreamRecord(
        admitted.stream,
        exchange.origin,
        admitted.resumable_until,
        is_begun=True,
    )
    kind = RouteAge(admitted.route.name, max_stream_age(admitted.route))
    state.streams.begin(kind, record, state.timers.now())
    if exchange.announce_origin is not None:
        await exchange.announce_origin(record)


def check_origin(
    state: GatewayState, exchange: Exchange, upstream: ListedUpstream
) -> None:
    """Mark the origin as unknown if a later process may have sent the events.

    An upstream may start again under its id and address with other software,
    and get requests before its new record is read.
    """
    origin = exchange.origin
    later = state.directory.later_lifetime(upstream)
    if origin is None or later is None or later.born is None:
        return
    if later.software_version == origin.software_version:
        return
    first_event_at = state.true_time.at(exchange.timings.first_at)
    if later.born / MS_PER_SECOND < first_event_at + CLOCK_MARGIN_SECONDS:
        exchange.origin = Origin(origin.service, None)
