"""Apply the load that an entry reports to the home."""

from spanfall_core.gateway.known.stream_origins import ungroup_records

from spanfall_node.gateway.links.messages import LoadMessage
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.brittle_upstreams import merge_rejections
from spanfall_node.gateway.upstreams.fleet_backoffs import merge_backoffs
from spanfall_node.gateway.upstreams.speeds import merge_samples


def apply_load(state: GatewayState, message: LoadMessage, now: float) -> None:
    """Apply the load of an entry and what it learned of upstreams."""
    state.grant_book.apply_report(message.entry, message.load, now)
    merge_samples(state, message.speeds)
    merge_backoffs(state, message.backoffs, now)
    merge_rejections(state, message.rejections)
    for stream in ungroup_records(message.begun, now):
        state.streams.record(stream, now)
        state.streams.unstored.append(stream)
    state.contention.notify_room_changed()
