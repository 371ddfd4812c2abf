"""Let another upstream continue a stream that one has begun."""

import logging

from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.origins import Origin

from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.tables.counters import ResumedBy
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import Exchange

logger = logging.getLogger(__name__)

MS_PER_SECOND = 1000
#: Seconds by which the clock of an upstream's host may be behind.
CLOCK_MARGIN_SECONDS = 1.0


def record_resumption(state: GatewayState, admitted: AdmittedRequest) -> None:
    """Count and log a request that resumes a stream of an earlier attempt."""
    resumption = admitted.resumption
    if resumption is None:
        return
    state.counters.resumed_streams.labels(ResumedBy.CALLER).inc()
    logger.info(
        'Request %s of %s resumes the stream of attempt %s after event %s',
        admitted.attempt_id,
        admitted.route.name,
        resumption.first_attempt or None,
        resumption.last_event_id or None,
    )


def bind_origin(
    state: GatewayState, exchange: Exchange, upstream: ListedUpstream
) -> None:
    """Bind a response to the software that sends its first event."""
    if exchange.origin is None:
        exchange.origin = Origin(upstream.service, upstream.software_version)


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
