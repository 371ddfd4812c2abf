"""Link nodes by websockets: batched frames, back-pressure, reconnection.

A link is one connection; whoever opens it, both ends send on it, so both see
its loss. Frames queued on a lost link are lost with it: the parts that own
them send again, under a higher attempt.
"""

import logging
from collections.abc import Awaitable, Callable
from itertools import count

import anyio
from anyio.abc import TaskGroup
from spanfall_api.frames import (
    PROTOCOL_VERSION,
    Frame,
    Hello,
    MalformedBatchError,
    RequestFrame,
    decode_batch,
    encode_batch,
)
from spanfall_api.settings import Limits, Times
from spanfall_core.reasons import DropReason
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from spanfall_node.link import Link, split_batches
from spanfall_node.metrics import Metrics

logger = logging.getLogger(__name__)

#: Room for the largest body and its envelope in one message.
ENVELOPE_BYTES = 4_194_304

FrameHandler = Callable[[Link, Frame], None]
LostHandler = Callable[[Link], None]


class Links:
    """Accept and open links, and hand their frames to subscribers."""

    def __init__(
        self,
        hello: Hello,
        metrics: Metrics,
        limits: Limits,
        times: Times,
    ) -> None:
        """Prepare to speak as the node named in ``hello``."""
        self.hello = hello
        self.port = 0
        self._metrics = metrics
        self._limits = limits
        self._times = times
        self._handlers: dict[type[Frame], FrameHandler] = {}
        self._lost: list[LostHandler] = []
        self._outbound: dict[str, Link] = {}
        self._tasks: TaskGroup | None = None
        self._local = count()
        self.address_of: Callable[[str], str | None] = lambda node_id: None
        self.severed: set[str] = set()

    def subscribe(
        self,
        frame_type: type[Frame],
        handler: FrameHandler,
    ) -> None:
        """Hand all frames of a type to one handler."""
        self._handlers[frame_type] = handler

    def on_lost(self, handler: LostHandler) -> None:
        """Call the handler with each link that is lost."""
        self._lost.append(handler)

    def open(self, node_id: str) -> Link:
        """Return the link opened from here to a node, connecting if needed."""
        link = self._outbound.get(node_id)
        if link is not None and not link.closed:
            return link
        link = Link(node_id)
        self._outbound[node_id] = link
        if self._tasks is None:
            link.closed = True
        elif node_id == self.hello.node_id:
            self._tasks.start_soon(self._loop_back, link)
        else:
            self._tasks.start_soon(self._dial, link)
        return link

    def is_up(self, node_id: str) -> bool:
        """Tell whether a link opened from here to a node is established."""
        link = self._outbound.get(node_id)
        return link is not None and link.ready.is_set() and not link.closed

    async def run(
        self,
        host: str,
        port: int,
        started: Callable[[], None],
    ) -> None:
        """Accept links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            async with serve(
                self._accept,
                host,
                port,
                compression=None,
                max_size=self._limits.body_bytes + ENVELOPE_BYTES,
                ping_interval=self._times.heartbeat,
                ping_timeout=self._times.member_timeout,
                close_timeout=self._times.heartbeat,
            ) as server:
                self.port = next(iter(server.sockets)).getsockname()[1]
                started()
                await anyio.sleep_forever()

    def sever(self, node_id: str) -> None:
        """Cut the links with a node and keep them cut, for failure tests."""
        self.severed.add(node_id)

    async def _accept(self, conn: ServerConnection) -> None:
        link = Link('')
        await self._serve_link(link, conn, self._shake_hands_in)

    async def _shake_hands_in(self, link: Link, conn: Connection) -> bool:
        hello = await self._receive_hello(conn)
        if hello is None or hello.node_id in self.severed:
            return False
        link.peer_id = hello.node_id
        link.incarnation = hello.incarnation
        await conn.send(encode_batch([self.hello]))
        return True

    async def _shake_hands_out(self, link: Link, conn: Connection) -> bool:
        await conn.send(encode_batch([self.hello]))
        hello = await self._receive_hello(conn)
        if hello is None or hello.node_id != link.peer_id:
            logger.warning(
                'The node at the address of %s is another one; '
                'check the addresses in the settings',
                link.peer_id,
            )
            return False
        link.incarnation = hello.incarnation
        return True

    async def _receive_hello(self, conn: Connection) -> Hello | None:
        try:
            frames = decode_batch(await conn.recv(decode=False))
        except MalformedBatchError:
            self._metrics.drops.labels(DropReason.MALFORMED.value).inc()
            return None
        first = frames[0] if frames else None
        if isinstance(first, Hello) and first.version == PROTOCOL_VERSION:
            return first
        return None

    async def _dial(self, link: Link) -> None:
        address = self.address_of(link.peer_id)
        if address is None or link.peer_id in self.severed:
            self._drop(link)
            return
        try:
            async with connect(
                f'ws://{address}',
                proxy=None,
                compression=None,
                max_size=self._limits.body_bytes + ENVELOPE_BYTES,
                open_timeout=self._times.connect_timeout,
                ping_interval=self._times.heartbeat,
                ping_timeout=self._times.member_timeout,
                close_timeout=self._times.heartbeat,
            ) as conn:
                await self._serve_link(link, conn, self._shake_hands_out)
        except (OSError, TimeoutError, WebSocketException) as exc:
            logger.info('No link to %s: %s', link.peer_id, exc)
            self._drop(link)

    async def _serve_link(
        self,
        link: Link,
        conn: Connection,
        shake_hands: Callable[[Link, Connection], Awaitable[bool]],
    ) -> None:
        try:
            if await shake_hands(link, conn):
                link.ready.set()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, link, conn)
                    await self._read(link, conn)
                    tasks.cancel_scope.cancel()
        except* ConnectionClosed:
            logger.debug('The link with %s closed', link.peer_id)
        finally:
            self._drop(link)

    async def _read(self, link: Link, conn: Connection) -> None:
        async for message in conn:
            if link.peer_id in self.severed:
                return
            self._take_message(link, message)

    def _take_message(self, link: Link, message: bytes | str) -> None:
        try:
            frames = decode_batch(
                message if isinstance(message, bytes) else b'',
            )
        except MalformedBatchError as exc:
            logger.warning('Dropped a batch from %s: %s', link.peer_id, exc)
            self._metrics.drops.labels(DropReason.MALFORMED.value).inc()
            return
        for frame in frames:
            self._deliver(link, frame)

    def _deliver(self, link: Link, frame: Frame) -> None:
        handler = self._handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)

    async def _write(self, link: Link, conn: Connection) -> None:
        while True:
            await link.wake.wait()
            with anyio.move_on_after(self._times.flush):
                await link.urgent.wait()
            link.wake = anyio.Event()
            link.urgent = anyio.Event()
            if link.peer_id in self.severed:
                await conn.close()
                return
            for batch in split_batches(link.take()):
                message = encode_batch(batch)
                await conn.send(message)
                self._count_bytes(batch, len(message))

    def _count_bytes(self, batch: list[Frame], size: int) -> None:
        is_control = not any(isinstance(fr, RequestFrame) for fr in batch)
        plane = 'control' if is_control else 'data'
        self._metrics.link_bytes.labels(plane).inc(size)

    async def _loop_back(self, link: Link) -> None:
        link.incarnation = self.hello.incarnation
        link.ready.set()
        while not link.closed:
            await link.wake.wait()
            link.wake = anyio.Event()
            for frame in link.take():
                self._deliver(link, frame)

    def _drop(self, link: Link) -> None:
        if link.closed:
            return
        link.closed = True
        link.outbox.clear()
        link.sources.clear()
        if self._outbound.get(link.peer_id) is link:
            self._outbound.pop(link.peer_id)
        for handler in self._lost:
            handler(link)
