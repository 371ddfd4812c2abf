"""Serve HTTP so that a test decides on each byte that goes back."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

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


#: Answer a request on its stream; False closes the connection.
Answerer = Callable[[Seen, SocketStream], Awaitable[bool]]


async def start_server(
    tasks: TaskGroup,
    answerer: Answerer,
    life: anyio.CancelScope | None = None,
) -> str:
    """Start a server on a free loopback port and return its address.

    Once ``life`` is cancelled all its connections end, and nothing listens
    there any more.
    """
    multi = await anyio.create_tcp_listener(local_host='127.0.0.1')
    listener: SocketListener = multi.listeners[0]
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve(stream: SocketStream) -> None:
        await _serve_connection(stream, answerer)

    async def live() -> None:
        with life or anyio.CancelScope():
            await listener.serve(serve)
        await listener.aclose()

    tasks.start_soon(live)
    return f'127.0.0.1:{port}'


async def _serve_connection(stream: SocketStream, answerer: Answerer) -> None:
    try:
        async with stream:
            await _serve_requests(stream, answerer)
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
