"""Read the bodies of responses, as far as they may be held."""

from spanfall_core.gateway.limits.memory_budget import HeldBytes

from spanfall_node.gateway.net.body_ends import BodyFraming
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import UnsoundServerError


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
    conn: Connection, held: HeldBytes, most: int
) -> tuple[bytearray, bool]:
    """Return a body as far as it may be held, and whether it is whole.

    Only a body of a stated length may exceed ``most`` bytes.

    Raises:
        BrokenCallError: the body was truncated.
        UnsoundServerError: a body without a length is too large.
    """
    body = bytearray()
    held_before = held.size
    while True:
        part = await conn.read_chunk()
        if part is None:
            return body, True
        body += part
        if len(body) > most and conn.framing is not BodyFraming.LENGTH:
            raise too_large(len(body), most)
        is_held = held.try_reach(held_before + len(body))
        if len(body) > most or not is_held:
            return body, False


def too_large(size: int, most: int) -> UnsoundServerError:
    """Return the error for a response body that has no end in sight."""
    return UnsoundServerError(
        f'response body too large: got {size} bytes, at most {most} are read'
    )
