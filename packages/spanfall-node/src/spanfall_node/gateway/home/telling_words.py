"""Forward the statements of upstreams to the home as they are received."""

from websockets.asyncio.client import ClientConnection

from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.links.word_messages import StatementsReport
from spanfall_node.gateway.tables.state import GatewayState


async def send_statements(state: GatewayState, link: ClientConnection) -> None:
    """Send a home all known statements, then each new one at once."""
    words = state.words
    now = state.timers.now()
    words.untold = {}
    known = words.table.changes_since(0, now)
    if known:
        await link.send(encode(StatementsReport(known)))
    while True:
        heard = words.heard
        if not words.untold:
            await heard.wait()
        untold = words.take_untold(state.timers.now())
        await link.send(encode(StatementsReport(untold)))
