"""Serve ASGI applications by hypercorn, so that they can be stopped."""

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from weakref import WeakSet

import anyio
from hypercorn.asyncio.run import worker_serve
from hypercorn.config import Config, Sockets
from hypercorn.utils import wrap_app

logger = logging.getLogger(__name__)

#: Seconds that open connections get when a server is stopped. A planned
#: stop drains before; a kill in a test must not wait.
GRACE_SECONDS = 0.05

AsgiApp = Any


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bound what a connection can make a server hold or wait for."""

    header_bytes: int = 32_768
    idle_seconds: float = 30.0


class TrackingSocket(socket.socket):
    """Listen, and remember the connections that were accepted.

    Hypercorn leaves a connection open whose call it cancels, so that its
    caller would wait for an answer for ever.
    """

    def __init__(self, fileno: int) -> None:
        """Take over a listening socket."""
        super().__init__(fileno=fileno)
        self._accepted: WeakSet[socket.socket] = WeakSet()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection and remember it while it is in use."""
        conn, address = super().accept()
        self._accepted.add(conn)
        return conn, address

    def cut_all(self) -> None:
        """Shut down all connections that are still open."""
        for conn in list(self._accepted):
            with suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


async def serve_http(
    app: AsgiApp,
    host: str,
    port: int,
    started: Callable[[int], None],
    limits: ServerLimits,
) -> None:
    """Serve until cancelled; ``started`` gets the port that was bound."""
    config = Config()
    config.bind = [f'{host}:{port}']
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn.error')
    config.h11_max_incomplete_size = limits.header_bytes
    config.keep_alive_timeout = limits.idle_seconds
    config.graceful_timeout = GRACE_SECONDS
    bound = config.create_sockets().insecure_sockets[0]
    # Connections queue from here on, before hypercorn accepts them.
    bound.listen(config.backlog)
    started(bound.getsockname()[1])
    listener = TrackingSocket(fileno=bound.detach())
    stop = asyncio.Event()
    # Hypercorn fails when it is cancelled, so it runs in a task of its own.
    task = asyncio.ensure_future(
        worker_serve(
            wrap_app(app, config.wsgi_max_body_size, 'asgi'),
            config,
            sockets=Sockets([], [listener], []),
            shutdown_trigger=stop.wait,
        ),
    )
    try:
        await asyncio.wait([task])
    finally:
        stop.set()
        listener.cut_all()
        with anyio.CancelScope(shield=True):
            await asyncio.wait([task])
    if not task.cancelled() and task.exception() is not None:
        logger.error('The server on port %s failed', port)
        raise RuntimeError from task.exception()
