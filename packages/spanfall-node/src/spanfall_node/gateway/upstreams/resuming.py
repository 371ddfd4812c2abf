"""Let another upstream continue a stream that one has begun."""

import logging

from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.tables.counters import ResumedBy
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


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
