"""Send the home this entry's load as it changes."""

import anyio
from websockets.asyncio.client import ClientConnection

from spanfall_node.gateway.links.messages import LoadMessage, encode
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.grants import GrantClient

#: Seconds for which load changes are collected before they are sent.
LOAD_PERIOD = 0.05
#: The same while requests wait for upstreams: a place whose end is not known
#: stays unused, and some calls take little longer than this.
CONTENDED_LOAD_PERIOD = 0.01


async def send_load(
    state: GatewayState, grants: GrantClient, link: ClientConnection
) -> None:
    """Send the home this node's load whenever it has changed."""
    sent_changes = -1
    while True:
        if sent_changes == state.loads.changes:
            await state.load_changed.wait()
        await anyio.sleep(_load_period(state))
        if sent_changes != state.loads.changes:
            sent_changes = state.loads.changes
            await link.send(encode(LoadMessage(state.entry_key, grants.load())))


def _load_period(state: GatewayState) -> float:
    if state.contention.is_contended(state.timers.now()):
        return CONTENDED_LOAD_PERIOD
    return LOAD_PERIOD
