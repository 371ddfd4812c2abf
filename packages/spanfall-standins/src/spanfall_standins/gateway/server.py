"""Serve HTTP for tests, whose handlers write the raw response bytes."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from enum import StrEnum, unique

import anyio
import h11
from anyio.abc import SocketListener, SocketStream, TaskGroup


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Represent a request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


#: Connections that fill the queue of a listener with a backlog of 0: the
#: kernel admits one more than the backlog.
BACKLOG_CONNECTIONS = 2

#: Writes the response to a request to its stream; returns False to close the
#: connection.
RequestHandler = Callable[[ReceivedRequest, SocketStream], Awaitable[bool]]


@unique
class AfterExit(StrEnum):
    """Define how the address of a process behaves after the process exits."""

    #: Nothing listens: connections are refused.
    REFUSES = 'refuses'
    #: A supervisor keeps the port open, accepts connections and closes them.
    CLOSES = 'closes'
    #: The host fails too: open connections stay open and new ones time out.
    SILENT = 'silent'


async def start_server(
    tasks: TaskGroup,
    handle_request: RequestHandler,
    process_scope: anyio.CancelScope | None = None,
    after_exit: AfterExit = AfterExit.REFUSES,
) -> str:
    """Start a server on a free loopback port and return its address.

    Cancelling ``process_scope`` simulates the exit of the process;
    ``after_exit`` selects how the address behaves from then on.
    """
    multi_listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    listener: SocketListener = multi_listener.listeners[0]
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    scope = process_scope or anyio.CancelScope()

    async def serve(stream: SocketStream) -> None:
        await _serve_connection(stream, handle_request)

    async def run_process() -> None:
        with scope:
            await listener.serve(serve)
        if after_exit is AfterExit.CLOSES:
            await listener.serve(_close)
        await listener.aclose()

    async def serve_or_hang(stream: SocketStream) -> None:
        # A host that loses power closes none of its connections.
        await _serve_connection(stream, handle_request, scope)

    async def run_on_failing_host() -> None:
        with scope:
            await listener.serve(serve_or_hang, tasks)
        await listener.aclose()
        with _silent_port(port):
            await anyio.sleep_forever()

    is_silent = after_exit is AfterExit.SILENT
    tasks.start_soon(run_on_failing_host if is_silent else run_process)
    return f'127.0.0.1:{port}'


async def _close(stream: SocketStream) -> None:
    await stream.aclose()


@contextmanager
def _silent_port(port: int) -> Iterator[None]:
    """Keep a port from answering SYN packets by filling its accept queue."""
    with ExitStack() as stack:
        sock = stack.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', port))
        sock.listen(0)
        for _ in range(BACKLOG_CONNECTIONS):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(('127.0.0.1', port))
        yield


async def _serve_connection(
    stream: SocketStream,
    handle_request: RequestHandler,
    process_scope: anyio.CancelScope | None = None,
) -> None:
    """Serve a connection; keep it open and idle if the host has failed."""
    try:
        async with stream:
            await _serve_requests(stream, handle_request)
            if process_scope is not None and process_scope.cancel_called:
                await anyio.sleep_forever()
    except (anyio.BrokenResourceError, anyio.EndOfStream, OSError):
        return


async def _serve_requests(
    stream: SocketStream, handle_request: RequestHandler
) -> None:
    while True:
        request = await read_request(stream)
        if request is None or not await handle_request(request, stream):
            return


async def read_request(stream: SocketStream) -> ReceivedRequest | None:
    """Return the next request, or None if the client closed the connection."""
    protocol = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    chunks: list[bytes] = []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await _receive(stream))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return _build_request(head, b''.join(chunks))
        else:
            return None


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b''


def _build_request(head: h11.Request, body: bytes) -> ReceivedRequest:
    headers = {name.decode(): text.decode() for name, text in head.headers}
    return ReceivedRequest(
        head.method.decode(), head.target.decode(), headers, body
    )


def encode_response(
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a complete response."""
    rows = {'content-length': str(len(body)), **(headers or {})}
    lines = [f'{name}: {text}\r\n' for name, text in rows.items()]
    head = f'HTTP/1.1 {status} X\r\n{"".join(lines)}\r\n'
    return head.encode() + body
