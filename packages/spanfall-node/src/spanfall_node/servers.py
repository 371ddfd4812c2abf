"""Serve ASGI applications by hypercorn, so that they can be stopped."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

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
    started(bound.getsockname()[1])
    config.bind = [f'fd://{bound.detach()}']
    stop = asyncio.Event()
    # Hypercorn fails when it is cancelled, so it runs in a task of its own.
    task = asyncio.ensure_future(
        serve(app, config, shutdown_trigger=stop.wait, mode='asgi'),
    )
    try:
        await asyncio.wait([task])
    finally:
        stop.set()
        with anyio.CancelScope(shield=True):
            await asyncio.wait([task])
    if not task.cancelled() and task.exception() is not None:
        logger.error('The server on port %s failed', port)
        raise RuntimeError from task.exception()
