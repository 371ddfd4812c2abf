"""Accept the connections of callers, or close them unread.

All connections that wait are accepted at once: they would otherwise wait in the
kernel, where their delay is not seen, until their callers give up.
"""

import errno
import logging
import socket
from collections.abc import Iterator

import anyio
from anyio.abc import SocketAttribute, SocketStream

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.callers.intake_gate import IntakeGate
from spanfall_node.gateway.net.sockets import BACKLOG

logger = logging.getLogger(__name__)

#: Maximum connections that are accepted before other work of the node goes on.
MAX_ACCEPTED_AT_ONCE = 256
#: Seconds to wait after an accept that failed for lack of descriptors.
RETRY_SECONDS = 0.1
#: Errors of a single connection that ended before it was accepted.
ENDED_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))


async def accept_callers(
    address: str, callers: Callers, gate: IntakeGate
) -> None:
    """Accept connections at an address until cancelled."""
    host, _, port = address.rpartition(':')
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), backlog=BACKLOG
    )
    async with listener, anyio.create_task_group() as tasks:
        raw = listener.listeners[0].extra(SocketAttribute.raw_socket)
        while True:
            await anyio.wait_readable(raw)
            try:
                for accepted in _take_waiting(raw, gate):
                    tasks.start_soon(_serve, accepted, callers)
            except OSError as exc:
                logger.warning('Could not accept a connection: %r', exc)
                await anyio.sleep(RETRY_SECONDS)


def _take_waiting(
    listener: socket.socket, gate: IntakeGate
) -> Iterator[socket.socket]:
    """Accept what waits; yield what the node takes, and close the rest.

    Raises:
        OSError: no descriptor or memory is left.
    """
    for _ in range(MAX_ACCEPTED_AT_ONCE):
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as exc:
            if exc.errno in ENDED_ERRORS:
                continue
            raise
        if gate.takes():
            yield accepted
        else:
            accepted.close()


async def _serve(accepted: socket.socket, callers: Callers) -> None:
    accepted.setblocking(False)
    try:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = await SocketStream.from_socket(accepted)
    except (OSError, ValueError) as exc:
        logger.info('A connection ended before it was read: %r', exc)
        accepted.close()
        return
    async with stream:
        await callers.serve_connection(stream)
