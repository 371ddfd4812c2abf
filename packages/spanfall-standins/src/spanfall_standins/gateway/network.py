"""Simulate the loss of a node's path to upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any

import anyio
from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.errors import NobodyListensError, NotSentError


@unique
class Path(StrEnum):
    """Name the state of a path."""

    OPEN = 'open'
    #: New connections are refused; open ones work on.
    REFUSES = 'refuses'
    #: New connections are refused, and open ones were reset.
    RESETS = 'resets'
    #: New and open connections hang.
    SILENT = 'silent'


@dataclass(slots=True)
class Network:
    """Hold the path of one node to the upstreams."""

    path: Path = Path.OPEN
    #: Seconds that a connection takes.
    delay: float = 0
    #: Set and replaced when the path changes.
    changed: anyio.Event = field(default_factory=anyio.Event)
    streams: set['CuttableStream'] = field(default_factory=set)
    dialled: int = 0

    async def cut(self, path: Path) -> None:
        """Change the state of the path."""
        self.path = path
        self.wake()
        if path is Path.RESETS:
            for stream in list(self.streams):
                await stream.inner.aclose()

    def wake(self) -> None:
        """Wake the tasks that wait for the path."""
        self.changed.set()
        self.changed = anyio.Event()

    async def dial(self, address: str, timeout: float) -> Connection:
        """Open a connection to an upstream within a timeout in seconds."""
        self.dialled += 1
        if self.path in {Path.REFUSES, Path.RESETS}:
            raise NobodyListensError('nobody listens there')
        if self.path is Path.SILENT:
            await anyio.sleep(timeout)
            raise NotSentError(f'no connection within {timeout} s')
        if self.delay >= timeout:
            await anyio.sleep(timeout)
            raise NotSentError(f'no connection within {timeout} s')
        await anyio.sleep(self.delay)
        conn = await connect(address, timeout)
        return Connection(CuttableStream(conn.stream, self), address)


@dataclass(slots=True, eq=False)
class CuttableStream:
    """Wrap a stream that hangs while its path is silent."""

    inner: BoundedStream
    network: Network
    is_closed: bool = False

    def __post_init__(self) -> None:
        """Register with the network."""
        self.network.streams.add(self)

    async def receive(self, most: int) -> bytes:
        """Receive bytes that have arrived while the path was not silent."""
        received = await self.inner.receive(most)
        await self._wait_for_path()
        return received

    async def send(self, content: bytes) -> None:
        """Send bytes once the path is not silent."""
        await self._wait_for_path()
        await self.inner.send(content)

    def is_reset(self) -> bool:
        """Return whether the connection was reset."""
        return self.inner.is_reset()

    def unacknowledged(self) -> int:
        """Return how many sent bytes the other host has not acknowledged."""
        return self.inner.unacknowledged()

    async def aclose(self) -> None:
        """Close the stream and wake the tasks that wait for its path."""
        self.is_closed = True
        self.network.streams.discard(self)
        self.network.wake()
        await self.inner.aclose()

    def extra(self, attribute: Any) -> Any:  # noqa: ANN401
        """Return an attribute of the stream."""
        return self.inner.extra(attribute)

    async def _wait_for_path(self) -> None:
        while self.network.path is Path.SILENT and not self.is_closed:
            await self.network.changed.wait()
        if self.is_closed:
            raise anyio.ClosedResourceError
