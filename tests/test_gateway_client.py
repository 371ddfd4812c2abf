"""Test the HTTP client with servers that misuse the connection."""

import errno
import socket
import time
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from spanfall_node.gateway.net import connecting
from spanfall_node.gateway.net.bodies import read_body
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import NotSentError, PathUnknownError
from spanfall_node.gateway.net.ports import HttpCall
from spanfall_node.gateway.net.sockets import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    MAX_KEEPALIVE_PROBES,
    MIN_SILENCE_SECONDS,
    TCP_USER_TIMEOUT_MS,
)
from support import run_async

#: Exceeds the socket buffers of both ends.
LARGE_BODY = b'x' * 16_000_000
#: Time-out in seconds for steps that should not wait; expiry is a failure.
TIMEOUT_SECONDS = 25
#: Time-out in seconds of connections that are expected to miss it.
CONNECT_SECONDS = 0.2
#: Connections of which a listener that accepts none holds fewer.
QUEUE_LIMIT = 8
EARLY_RESPONSE = b'HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n'


async def respond_without_reading(stream: SocketStream) -> None:
    """Respond at once and never read the request."""
    await stream.send(EARLY_RESPONSE)
    await anyio.sleep_forever()


async def pause_process(seconds: float) -> None:
    """Stop this process, and so all its tasks, for some seconds."""
    time.sleep(seconds)  # noqa: ASYNC251


def test_a_pause_of_this_process_is_no_timeout():
    """The server accepts while this process cannot see that it does."""

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, respond_without_reading)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(pause_process, 2 * CONNECT_SECONDS)
            await connecting.connect(f'127.0.0.1:{port}', CONNECT_SECONDS)
            tasks.cancel_scope.cancel()

    run_async(main)


def test_a_server_that_does_not_accept_times_out():
    """Its queue of connections is full; the client waits no longer than told."""

    async def main() -> None:
        with socket.socket() as silent:
            silent.bind(('127.0.0.1', 0))
            silent.listen(0)
            port = silent.getsockname()[1]
            with pytest.raises(NotSentError):
                for _ in range(QUEUE_LIMIT):
                    await connecting.connect(
                        f'127.0.0.1:{port}', CONNECT_SECONDS
                    )

    run_async(main)


def run_with_unreading_server(
    test: Callable[[Connection], Awaitable[None]],
) -> None:
    """Run a test with a connection to a server that never reads."""

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, respond_without_reading)
            await test(
                await connecting.connect(f'127.0.0.1:{port}', TIMEOUT_SECONDS)
            )
            tasks.cancel_scope.cancel()

    run_async(main)


def test_response_before_body_is_read():
    """A server that rejects early and stops reading does not block the client."""

    async def check(conn: Connection) -> None:
        call = HttpCall('POST', '/', body=LARGE_BODY)
        with anyio.fail_after(TIMEOUT_SECONDS):
            head = await conn.send_and_read_head(call, 'x', bool)
            body = await read_body(conn, 1)
        assert (head.status, body, conn.reusable) == (503, b'', False)

    run_with_unreading_server(check)


def test_keepalive_probes_are_enabled():
    """Probes detect a host without power, which neither responds nor closes."""

    async def check(conn: Connection) -> None:
        raw = conn.stream.extra(SocketAttribute.raw_socket)
        probed = raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        bound = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert (probed, bound) == (1, TCP_USER_TIMEOUT_MS)

    run_with_unreading_server(check)


# Guards against a server that is silent for a second and is given up, and
# against a number of probes that has no effect.
def test_keepalive_agrees_with_the_user_timeout():
    """The user timeout also decides when probes give up, whatever their count."""
    by_probes = (
        KEEPALIVE_IDLE_SECONDS
        + KEEPALIVE_INTERVAL_SECONDS * MAX_KEEPALIVE_PROBES
    )
    assert by_probes * 1000 == TCP_USER_TIMEOUT_MS
    assert by_probes >= 2 * MIN_SILENCE_SECONDS


# Guards against an error that no caller expects, and against the lookup of a
# name, which would stop the event loop.
@pytest.mark.parametrize(
    'address',
    [
        '',
        ':',
        '127.0.0.1',
        '127.0.0.1:',
        '127.0.0.1:x',
        '127.0.0.1:0',
        '127.0.0.1:65536',
        '127.0.0.1:-1',
        '12\u0667.0.0.1:80',
        '\uff1127.0.0.1:80',
        '\u0627.0.0.1:80',
        '127.0.0.1\0:80',
        '127.1:80',
        'localhost:80',
        'a..b:80',
        f'{"x" * 70}.0.0.1:80',
        '[::1]:80',
    ],
)
def test_an_invalid_address_is_not_connected_to(address, monkeypatch):
    monkeypatch.setattr(socket, 'getaddrinfo', None)

    async def main() -> None:
        with pytest.raises(NotSentError):
            await connecting.connect(address, CONNECT_SECONDS)

    run_async(main)


# Guards against upstreams that count as unreachable because this process has
# as many connections as it may.
@pytest.mark.parametrize('number', [errno.EMFILE, errno.ENOBUFS])
def test_lack_of_descriptors_blames_no_server(monkeypatch, number):
    async def fail(address):
        raise OSError(number, 'as told')

    async def run():
        with pytest.raises(PathUnknownError):
            await connecting.connect('127.0.0.1:1', 1)

    monkeypatch.setattr(connecting, 'open_stream', fail)
    run_async(run)
