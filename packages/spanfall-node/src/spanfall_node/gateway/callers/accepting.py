"""Accept the connections of callers that the intake takes."""

import logging
import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.callers.intake_gate import IntakeGate
from spanfall_node.gateway.net.sockets import BACKLOG

logger = logging.getLogger(__name__)


class GatedCallers:
    """Close connections unread that the intake does not take.

    The event loop reads from a connection as soon as it has a stream, so one
    that is not taken never gets a stream.
    """

    def __init__(self, callers: Callers, gate: IntakeGate) -> None:
        """Serve what the gate takes by the connections of callers."""
        self._callers = callers
        self._gate = gate

    async def listen(self, address: str) -> None:
        """Accept connections at an address until cancelled."""
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=BACKLOG
        )
        raw = listener.extra(SocketAttribute.raw_socket)
        async with listener, anyio.create_task_group() as tasks:
            while True:
                stream = await self._take_next(raw)
                if stream is not None:
                    tasks.start_soon(self._callers.serve_connection, stream)

    async def _take_next(self, listener: socket.socket) -> SocketStream | None:
        """Accept a connection; return None if it is not taken or has ended."""
        accepted = await _accept(listener)
        if not self._gate.takes():
            accepted.close()
            return None
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            return await SocketStream.from_socket(accepted)
        except (OSError, ValueError) as exc:
            logger.info('A connection ended while it was accepted: %r', exc)
            accepted.close()
        return None


async def _accept(listener: socket.socket) -> socket.socket:
    """Return the next connection; others get their turn before it."""
    await anyio.lowlevel.checkpoint()
    while True:
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            await anyio.wait_readable(listener)
        else:
            accepted.setblocking(False)
            return accepted
