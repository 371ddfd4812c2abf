"""Serve stand-ins on loopback ports, by hand or inside a test."""

import anyio
from anyio.abc import TaskGroup, TaskStatus
from spanfall_node.servers import ServerLimits, serve_http
from starlette.applications import Starlette


async def serve_app(
    app: Starlette,
    port: int,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application; report its port once it accepts calls."""
    await serve_http(
        app,
        '127.0.0.1',
        port,
        task_status.started,
        ServerLimits(),
    )


class Host:
    """Run one stand-in so that it can be killed as a host would be."""

    def __init__(self, app: Starlette) -> None:
        """Prepare to serve an application."""
        self._app = app
        self._scope = anyio.CancelScope()
        self.port = 0

    @property
    def address(self) -> str:
        """Return the address of the stand-in."""
        return f'http://127.0.0.1:{self.port}'

    async def start(self, tasks: TaskGroup, port: int = 0) -> None:
        """Start to serve."""
        self.port = await tasks.start(self._run, port)

    def kill(self) -> None:
        """End the stand-in and all its connections at once."""
        self._scope.cancel()

    async def _run(
        self,
        port: int,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        with self._scope:
            await serve_app(self._app, port, task_status=task_status)
