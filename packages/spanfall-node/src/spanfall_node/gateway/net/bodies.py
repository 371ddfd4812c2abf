"""Read the bodies of responses, as far as they may be held."""

from itertools import count

from spanfall_core.gateway.limits.memory_budget import HeldBytes

from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import UnsoundServerError
from spanfall_node.gateway.net.sockets import READ_BYTES
from spanfall_node.gateway.net.turns import Turns

#: Mean bytes of a part below which their number is bounded.
MIN_PART_BYTES = 16
#: Maximum parts of a body without a length that is held: bytes that come one by
#: one take a thousand times the processor time of the same bytes in large parts.
MAX_PARTS = 16_384


async def read_body(conn: Connection, most: int) -> bytearray:
    """Return the rest of the body of a response.

    Raises:
        BrokenCallError: the body was truncated.
        UnsoundServerError: the body exceeds ``most`` bytes.
    """
    body = bytearray()
    while True:
        part = await conn.read_chunk()
        if part is None:
            return body
        body += part
        if len(body) > most:
            raise too_large(len(body), most)


async def read_held_body(
    conn: Connection,
    held: HeldBytes,
    most: int,
    turns: Turns,
    stated: int | None,
) -> tuple[bytearray, bool]:
    """Return a body as far as it may be held, and whether it is whole.

    Bytes are held before they are read; ``stated`` is the length, if it is known.
    Only a body of a stated length may exceed ``most`` bytes.

    Raises:
        BrokenCallError: the body was truncated.
        UnsoundServerError: a body without a length is too large.
    """
    body = bytearray()
    held_before = held.size
    for number in count(1):
        wanted = len(body) + conn.read_bytes
        if stated is not None:
            wanted = min(wanted, stated)
        if not held.try_reach(held_before + wanted):
            return body, False
        part = await conn.read_chunk()
        if part is None:
            break
        body += part
        if stated is None:
            _check_unstated(number, len(body), most)
        if len(body) > most:
            return body, False
        conn.read_bytes = READ_BYTES
        await turns.read_bulk(len(body))
    return body, True


def _check_unstated(number: int, size: int, most: int) -> None:
    """Raise UnsoundServerError if too much came, or in too many parts."""
    if size > most:
        raise too_large(size, most)
    if number > MAX_PARTS and size < number * MIN_PART_BYTES:
        raise UnsoundServerError(
            f'response body in too many parts: got {number} with {size} bytes'
        )


def too_large(size: int, most: int) -> UnsoundServerError:
    """Return the error for a response body that has no end in sight."""
    return UnsoundServerError(
        f'response body too large: got {size} bytes, at most {most} are read'
    )
