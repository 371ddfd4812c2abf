"""Send the home the load of this node and what it learned of upstreams."""

import anyio
from spanfall_core.gateway.known.stream_origins import group_records
from websockets.asyncio.client import ClientConnection

from spanfall_node.gateway.links.messages import LoadMessage, encode
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.brittle_upstreams import take_rejections
from spanfall_node.gateway.upstreams.fleet_backoffs import (
    note_all_backoffs,
    take_backoffs,
)
from spanfall_node.gateway.upstreams.grants import GrantClient
from spanfall_node.gateway.upstreams.unproven_streams import take_unproven

#: Seconds for which load changes are collected before they are sent.
LOAD_PERIOD = 0.05
#: The same while requests wait for upstreams: a place whose end is not known
#: stays unused, and some calls take little longer than this.
CONTENDED_LOAD_PERIOD = 0.01
#: Seconds between two looks, while the load does not change, whether streams that
#: have begun are in need of a record since their service has another version.
BEGUN_PERIOD = 0.5
#: Messages per second with samples of upstreams' speeds that the home receives
#: from all entries together.
MAX_SPEED_MESSAGES_PER_SECOND = 400


async def send_load(
    state: GatewayState, grants: GrantClient, link: ClientConnection
) -> None:
    """Send the home this node's load whenever it has changed."""
    speeds = state.upstream_speeds
    if state.home is not None:
        speeds.send_again(state.home.epoch)
    note_all_backoffs(state, state.timers.now())
    sent_changes = -1
    samples_due_at = float('-inf')
    while True:
        if sent_changes == state.loads.changes:
            with anyio.move_on_after(BEGUN_PERIOD):
                await state.load_changed.wait()
        await anyio.sleep(_load_period(state))
        begun = take_unproven(state)
        if sent_changes == state.loads.changes and not begun:
            continue
        sent_changes = state.loads.changes
        now = state.timers.now()
        samples = ()
        if now >= samples_due_at:
            samples = speeds.take_samples(now)
            samples_due_at = now + speed_period(state.quotas.entries)
        backoffs = take_backoffs(state, now)
        message = LoadMessage(
            state.entry_key,
            grants.load(),
            samples,
            backoffs,
            take_rejections(state),
            group_records(begun, now),
        )
        await link.send(encode(message))


def speed_period(entries: int) -> float:
    """Return the seconds between two messages with samples of one entry."""
    return entries / MAX_SPEED_MESSAGES_PER_SECOND


def _load_period(state: GatewayState) -> float:
    if state.contention.is_contended(state.timers.now()):
        return CONTENDED_LOAD_PERIOD
    return LOAD_PERIOD
