"""Serve HTTP so that a test decides on each byte that goes back."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from enum import StrEnum, unique

import anyio
import h11
from anyio.abc import SocketListener, SocketStream, TaskGroup


@dataclass(frozen=True, slots=True)
class Seen:
    """Hold a request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


#: Connections that fill a queue of none: the system lets one in besides.
FILLING_CONNECTIONS = 2

#: Answer a request on its stream; False closes the connection.
Answerer = Callable[[Seen, SocketStream], Awaitable[bool]]


@unique
class AfterEnd(StrEnum):
    """Name what the address of a process does once the process has ended."""

    #: Nothing listens there.
    REFUSES = 'refuses'
    #: A supervisor holds the port: it takes connections and closes them.
    CLOSES = 'closes'
    #: The host went too: open connections stay open, new ones get no answer.
    SILENT = 'silent'


async def start_server(
    tasks: TaskGroup,
    answerer: Answerer,
    life: anyio.CancelScope | None = None,
    after_end: AfterEnd = AfterEnd.REFUSES,
) -> str:
    """Start a server on a free loopback port and return its address.

    ``life`` is cancelled as its process ends; what the address does from then
    on is told by ``after_end``.
    """
    multi = await anyio.create_tcp_listener(local_host='127.0.0.1')
    listener: SocketListener = multi.listeners[0]
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    scope = life or anyio.CancelScope()

    async def serve(stream: SocketStream) -> None:
        await _serve_connection(stream, answerer)

    async def live() -> None:
        with scope:
            await listener.serve(serve)
        if after_end is AfterEnd.CLOSES:
            await listener.serve(_close)
        await listener.aclose()

    async def serve_or_hold(stream: SocketStream) -> None:
        # A host without power closes nothing.
        await _serve_connection(stream, answerer, scope)

    async def live_until_silent() -> None:
        with scope:
            await listener.serve(serve_or_hold, tasks)
        await listener.aclose()
        with _silent_port(port):
            await anyio.sleep_forever()

    is_silent = after_end is AfterEnd.SILENT
    tasks.start_soon(live_until_silent if is_silent else live)
    return f'127.0.0.1:{port}'


async def _close(stream: SocketStream) -> None:
    await stream.aclose()


@contextmanager
def _silent_port(port: int) -> Iterator[None]:
    """Let a port answer no opening packet: its queue is full."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', port))
        listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filling = stack.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(('127.0.0.1', port))
        yield


async def _serve_connection(
    stream: SocketStream,
    answerer: Answerer,
    life: anyio.CancelScope | None = None,
) -> None:
    """Serve a connection; one of a host that went stays as it is."""
    try:
        async with stream:
            await _serve_requests(stream, answerer)
            if life is not None and life.cancel_called:
                await anyio.sleep_forever()
    except (anyio.BrokenResourceError, anyio.EndOfStream, OSError):
        return


async def _serve_requests(stream: SocketStream, answerer: Answerer) -> None:
    while True:
        seen = await read_request(stream)
        if seen is None or not await answerer(seen, stream):
            return


async def read_request(stream: SocketStream) -> Seen | None:
    """Return the next request, or None when the client closed."""
    protocol = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    parts: list[bytes] = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await _received(stream))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return _seen(head, b''.join(parts))
        else:
            return None


async def _received(stream: SocketStream) -> bytes:
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b''


def _seen(head: h11.Request, body: bytes) -> Seen:
    headers = {name.decode(): text.decode() for name, text in head.headers}
    return Seen(head.method.decode(), head.target.decode(), headers, body)


def answer_bytes(
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a whole answer."""
    rows = {'content-length': str(len(body)), **(headers or {})}
    lines = [f'{name}: {text}\r\n' for name, text in rows.items()]
    head = f'HTTP/1.1 {status} X\r\n{"".join(lines)}\r\n'
    return head.encode() + body
