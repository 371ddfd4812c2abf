"""Choose the streams whose origin the store has to name.

What began a stream needs no record while its route has had one service of one
software version. All other streams are named to the home, which writes them to
the store, so that they outlive a restart of all nodes.
"""

from spanfall_core.gateway.known.stream_origins import StreamRecord

from spanfall_node.gateway.store.version_record import CLOCK_MARGIN_SECONDS
from spanfall_node.gateway.tables.known_streams import RouteAge
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.stream_lookup import sole_origin

#: Seconds for which a route must have had one version besides: a home that
#: starts later trusts the times in the store that much less.
PROOF_MARGIN_SECONDS = 2 * CLOCK_MARGIN_SECONDS


def take_unproven(state: GatewayState) -> list[StreamRecord]:
    """Return the streams that began at this node and need a record, once."""

    def is_unproven(kind: RouteAge) -> bool:
        age = kind.max_age + PROOF_MARGIN_SECONDS
        return sole_origin(state, kind.route, age) is None

    return state.streams.take_own(is_unproven, state.timers.now())
