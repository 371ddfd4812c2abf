"""Watch connections on which no response is awaited."""

from collections.abc import Iterable

import anyio

from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.sockets import READ_BYTES, SOCKET_ERRORS


async def watch_idle(conn: Connection) -> None:
    """Wait until an idle connection closes, receives data or expires."""
    with anyio.move_on_after(conn.idle_seconds):
        try:
            await conn.stream.receive(READ_BYTES)
        except SOCKET_ERRORS:
            return


async def closes_within(conn: Connection, seconds: float) -> bool:
    """Check whether a server closes a connection it has just accepted."""
    with anyio.move_on_after(seconds):
        try:
            return not await conn.stream.receive(READ_BYTES)
        except SOCKET_ERRORS:
            return True
    return False


async def close_all(connections: Iterable[Connection]) -> None:
    """Close connections one after the other."""
    for conn in connections:
        await conn.close()
