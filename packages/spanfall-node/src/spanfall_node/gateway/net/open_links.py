"""Open a link to another node."""

from websockets.asyncio.client import ClientConnection, connect

#: Maximum size of one message in bytes.
MESSAGE_BYTES = 4_194_304


async def open_link(address: str) -> ClientConnection:
    """Open a link to the node that accepts links at an address.

    Raises:
        OSError: the node cannot be reached.
        WebSocketException: it does not speak the protocol of links.
    """
    return await connect(
        f'ws://{address}/',
        max_size=MESSAGE_BYTES,
        compression=None,
        proxy=None,
        user_agent_header=None,
    )
