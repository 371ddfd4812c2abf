"""Send a message over many links concurrently."""

import logging
from collections.abc import Iterable

import anyio
import msgspec
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.links.messages import encode

logger = logging.getLogger(__name__)

#: Timeout per link in seconds, after which an entry that does not read is
#: skipped.
SEND_TIMEOUT_SECONDS = 0.3


async def send_to_all(
    links: Iterable[ServerConnection],
    message: msgspec.Struct,
) -> None:
    """Send a message over all links; failures are logged and skipped."""
    encoded = encode(message)
    async with anyio.create_task_group() as tasks:
        for link in links:
            tasks.start_soon(_send_one, link, encoded)


async def _send_one(link: ServerConnection, encoded: bytes) -> None:
    try:
        with anyio.fail_after(SEND_TIMEOUT_SECONDS):
            await link.send(encoded)
    except (OSError, TimeoutError, WebSocketException) as exc:
        logger.info('Could not send a message to an entry: %r', exc)
