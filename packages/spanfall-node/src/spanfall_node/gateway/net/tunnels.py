"""Connect to upstreams through a peer (CONNECT, RFC 9110, section 9.3.6).

The entry keeps the request: the peer opens a connection and copies bytes both
ways, with their end. So the tunnel of a peer that ends is reset, which is never
the end of a response.
"""

from enum import Enum, unique

import anyio

from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.errors import (
    BrokenCallError,
    NobodyListensError,
    NotSentError,
    PeerUnavailableError,
)
from spanfall_node.gateway.net.ports import HttpCall
from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.net.sockets import (
    READ_BYTES,
    SOCKET_ERRORS,
    reset_on_close,
)

#: Statuses with which a peer states what it found at the upstream's address.
REFUSED_STATUS = 502
NO_ANSWER_STATUS = 504
#: Seconds between two looks whether the last bytes were delivered.
DELIVERY_POLL_SECONDS = 0.01


async def connect_through(
    peer_address: str, address: str, timeout: float
) -> Connection:
    """Open a connection to an address through a peer.

    Raises:
        NobodyListensError: the peer found that the host refuses connections.
        NotSentError: the peer found that the host accepts none in time.
        PeerUnavailableError: the peer does not say.
    """
    try:
        conn = await connect(peer_address, timeout)
    except NotSentError as exc:
        raise PeerUnavailableError(
            f'no connection to peer {peer_address}: {exc.reason}'
        ) from exc
    is_open = False
    try:
        head = await _request_tunnel(conn, address, timeout)
        is_open = _check(head, peer_address)
    finally:
        if not is_open:
            await conn.close()
    return Connection(conn.stream, address, is_direct=False)


async def _request_tunnel(
    conn: Connection, address: str, timeout: float
) -> ResponseHead:
    try:
        with anyio.fail_after(timeout):
            await conn.send(HttpCall('CONNECT', address), address)
            return await conn.read_head(lambda _: True)
    except (BrokenCallError, TimeoutError) as exc:
        raise PeerUnavailableError(
            f'no tunnel through {conn.address}: {exc!r}'
        ) from exc


def _check(head: ResponseHead, peer_address: str) -> bool:
    """Return True if the tunnel is open; raise what the peer found if not."""
    if head.is_success:
        return True
    if head.status == REFUSED_STATUS:
        raise NobodyListensError('nobody listens there, as a peer found too')
    if head.status == NO_ANSWER_STATUS:
        raise NotSentError('no connection, as a peer found too')
    raise PeerUnavailableError(
        f'peer {peer_address} opened no tunnel: status {head.status}'
    )


@unique
class _CopyEnd(Enum):
    """Name why the copying of one direction ended."""

    CLOSED = 'closed'
    RESET = 'reset'
    NOT_TAKEN = 'not-taken'


async def copy_both_ways(near: BoundedStream, far: BoundedStream) -> None:
    """Copy bytes until either side ends; the near side learns how far ended.

    A failed write to the far side ends nothing: what that side sent before its
    end may still have to be read.
    """
    reset_on_close(near, enabled=True)
    try:
        async with anyio.create_task_group() as tasks:

            async def copy_requests() -> None:
                if await _copy(near, far) is not _CopyEnd.NOT_TAKEN:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(copy_requests)
            await _copy_responses(near, far)
            tasks.cancel_scope.cancel()
    except SOCKET_ERRORS:
        return
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(far)
            await anyio.aclose_forcefully(near)


async def _copy_responses(near: BoundedStream, far: BoundedStream) -> None:
    """Copy from far to near; close the near side, or leave it to be reset.

    A close is passed on only if the far side had taken all that came from the
    near side, since the near side can't see that.
    """
    end = await _copy(far, near)
    is_left = far.unacknowledged() or near.has_bytes()
    if end is _CopyEnd.CLOSED and not (is_left or far.is_reset()):
        reset_on_close(near, enabled=False)
        await near.send_eof()
        return
    # A reset discards what is still to be sent.
    while near.unacknowledged() and not near.is_reset():
        await anyio.sleep(DELIVERY_POLL_SECONDS)


async def _copy(source: BoundedStream, sink: BoundedStream) -> _CopyEnd:
    """Copy bytes until the source ends or the sink takes no more."""
    while True:
        try:
            received = await source.receive(READ_BYTES)
        except anyio.EndOfStream:
            return _CopyEnd.CLOSED
        except SOCKET_ERRORS:
            return _CopyEnd.RESET
        try:
            await sink.send(received)
        except SOCKET_ERRORS:
            return _CopyEnd.NOT_TAKEN
