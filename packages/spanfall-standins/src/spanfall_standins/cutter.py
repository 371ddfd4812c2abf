"""Stand between a caller and a server to cut their connections.

A cut closes the sockets without any word of the protocol, as the loss of a
host does.
"""

import anyio
from anyio.abc import ByteReceiveStream, ByteSendStream, SocketStream, TaskGroup

_CHUNK = 65_536


class Cutter:
    """Forward connections to a port until told to cut them."""

    def __init__(self, target: int) -> None:
        """Forward to a port on loopback.

        ``request_bytes`` and ``answer_bytes`` cut a connection after so many
        bytes either way; None forwards all.
        """
        self.port = 0
        self.request_bytes: int | None = None
        self.answer_bytes: int | None = None
        self._target = target
        self._open: set[SocketStream] = set()

    async def start(self, tasks: TaskGroup) -> None:
        """Begin to listen on a free port."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._forward)

    async def cut(self) -> None:
        """Cut all connections that are open now."""
        for stream in list(self._open):
            await stream.aclose()

    async def _forward(self, near: SocketStream) -> None:
        far = await anyio.connect_tcp('127.0.0.1', self._target)
        self._open |= {near, far}
        try:
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far, self.request_bytes)
                await self._pump(far, near, self.answer_bytes)
                tasks.cancel_scope.cancel()
        finally:
            self._open -= {near, far}

    async def _pump(
        self,
        source: ByteReceiveStream,
        sink: ByteSendStream,
        most: int | None,
    ) -> None:
        try:
            while most is None or most > 0:
                chunk = await source.receive(_CHUNK if most is None else most)
                await sink.send(chunk)
                most = None if most is None else most - len(chunk)
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            return
        except anyio.BrokenResourceError:
            return
        await source.aclose()
        await sink.aclose()
