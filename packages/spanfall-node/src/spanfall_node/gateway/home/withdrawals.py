"""Tell the home which held requests are no longer to be sent."""

from websockets.asyncio.client import ClientConnection

from spanfall_node.gateway.links.contention_messages import WithdrawMessage
from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.tables.state import GatewayState


async def send_withdrawals(state: GatewayState, link: ClientConnection) -> None:
    """Send withdrawals as they occur, those of one moment together."""
    contention = state.contention
    while True:
        await contention.has_withdrawn.wait()
        tickets = contention.take_withdrawn()
        if tickets:
            message = WithdrawMessage(state.entry_key, tickets)
            await link.send(encode(message))
