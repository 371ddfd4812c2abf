"""Accept the connections of one address, as many as it may have at once."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count

import anyio
from anyio.abc import SocketAttribute, TaskGroup
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.limits.connections import MAX_SILENT

from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.sockets import BACKLOG, NO_ROOM_ERRORS

logger = logging.getLogger(__name__)

#: Errors of accept that concern one connection or the network (accept(2)).
TRANSIENT_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    )
)
#: Turns of the event loop that others get after a connection that is served, so
#: that a burst does not keep the home from its answers.
TURNS_PER_CONNECTION = 3
#: Connections that are not served and are accepted before others get their turn.
UNSERVED_PER_SLICE = 16
#: Seconds between two looks at silent connections, and after which one that has
#: sent nothing is closed.
SILENT_PERIOD = 0.02
SILENT_SECONDS = 0.1
#: Seconds before the next attempt while there is no descriptor.
NO_ROOM_SECONDS = 0.05


@dataclass(slots=True)
class Listener:
    """Accept connections at an address until cancelled."""

    address: str
    table: ConnectionTable
    #: Serves one connection; its errors end no other one.
    serve: Callable[[BoundedStream, ConnectionTable], Awaitable[None]]
    #: Whether to take a connection that was just accepted.
    takes: Callable[[], bool] = lambda: True
    #: Connections that were accepted while the table was full and have sent
    #: nothing, and since when. They replace no other one before they do.
    _silent: dict[BoundedStream, float] = field(default_factory=dict)
    _has_silent: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Accept and serve connections."""
        host, _, port = self.address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=BACKLOG
        )
        raw = listener.extra(SocketAttribute.raw_socket)
        try:
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self._examine_silent, tasks)
                await self._accept_all(raw, tasks)
        finally:
            for stream in self._silent:
                stream.close()
            self._silent.clear()

    async def _accept_all(
        self, listener: socket.socket, tasks: TaskGroup
    ) -> None:
        for number in count(1):
            if self._take(await self._accept(listener), tasks):
                for _ in range(TURNS_PER_CONNECTION):
                    await checkpoint()
            elif not number % UNSERVED_PER_SLICE:
                await checkpoint()

    def _take(self, sock: socket.socket, tasks: TaskGroup) -> bool:
        """Return whether a connection that was just accepted is served now.

        Others are closed unread, or wait until they have sent something.
        """
        stream = BoundedStream(sock)
        if stream.has_hung_up() or not self.takes():
            stream.close()
        elif self.table.is_full and not stream.has_bytes():
            self._silent[stream] = self.table.now()
            self._has_silent.set()
            if len(self._silent) > MAX_SILENT:
                self._examine(next(iter(self._silent)), tasks, is_over=True)
        else:
            self._start(stream, tasks)
            return True
        return False

    def _start(self, stream: BoundedStream, tasks: TaskGroup) -> None:
        if self.table.make_room():
            self.table.add(stream)
            tasks.start_soon(self._serve, stream)
        else:
            stream.close()

    async def _examine_silent(self, tasks: TaskGroup) -> None:
        """Serve the silent connections that have sent something."""
        while True:
            await self._has_silent.wait()
            await anyio.sleep(SILENT_PERIOD)
            due = self.table.now() - SILENT_SECONDS
            for stream, since in list(self._silent.items()):
                self._examine(stream, tasks, is_over=since <= due)
            if not self._silent:
                self._has_silent = anyio.Event()

    def _examine(
        self, stream: BoundedStream, tasks: TaskGroup, *, is_over: bool
    ) -> None:
        """Serve a connection that is silent no more, or close it in the end."""
        if stream.has_bytes():
            del self._silent[stream]
            self._start(stream, tasks)
        elif is_over:
            del self._silent[stream]
            stream.close()

    async def _serve(self, stream: BoundedStream) -> None:
        try:
            await self.serve(stream, self.table)
        except Exception:
            logger.exception(
                'Unexpected error on a connection to %s; closing it',
                self.address,
            )
        finally:
            self.table.remove(stream)
            stream.close()

    async def _accept(self, listener: socket.socket) -> socket.socket:
        """Return the next connection."""
        while True:
            try:
                return _accept_now(listener)
            except BlockingIOError:
                await anyio.wait_readable(listener)
            except OSError as exc:
                await self._recover(exc)

    async def _recover(self, exc: OSError) -> None:
        """Wait after a failed accept, unless the listener itself has failed."""
        if exc.errno in NO_ROOM_ERRORS:
            logger.warning(
                'No connection can be accepted at %s, which has %s of %s: %r',
                self.address,
                len(self.table),
                self.table.limit,
                exc,
            )
            self.table.close_one()
            await anyio.sleep(NO_ROOM_SECONDS)
        elif exc.errno in TRANSIENT_ERRORS:
            logger.info(
                'A connection to %s ended while it was accepted: %r',
                self.address,
                exc,
            )
            await checkpoint()
        else:
            raise exc


def _accept_now(listener: socket.socket) -> socket.socket:
    """Return the next connection, or raise an error."""
    accepted, _ = listener.accept()
    try:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        accepted.close()
        raise
    return accepted
