"""Read from a socket only when somebody wants its bytes, and only so many.

The streams of the event loop read ahead: up to a quarter of a megabyte at a
time, and without end while nobody receives. What a client sends would then be
held before anybody could count it. This stream holds nothing; what is not
wanted stays in the kernel, whose window holds the client back.
"""

import errno
import fcntl
import logging
import select
import socket
import struct
import termios
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute
from anyio.lowlevel import checkpoint

from spanfall_node.gateway.net.sockets import READ_BYTES

logger = logging.getLogger(__name__)

MAX_PORT = 65535

_RESET = select.POLLHUP | select.POLLERR
_HANG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class BoundedStream(ByteStream):
    """Receive and send over a connected socket without a buffer."""

    def __init__(self, sock: socket.socket) -> None:
        """Use a socket that does not block, and close it in the end."""
        self._socket = sock
        self._is_closed = False
        #: Whether the last read may have left bytes in the kernel.
        self._may_have_more = True
        #: Whether a call has reported a reset. The kernel reports it once; the
        #: next read ends as after a close.
        self._was_reset = False

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the bytes that have arrived, as many as are wanted.

        Raises:
            EndOfStream: the client closed its side.
            BrokenResourceError: the connection was reset.
            ClosedResourceError: this side closed the connection.
        """
        if self._may_have_more:
            await checkpoint()
        else:
            await self._wait_readable()
        while True:
            try:
                received = self._use(self._socket.recv, max_bytes)
            except BlockingIOError:
                await self._wait_readable()
                continue
            self._may_have_more = len(received) == max_bytes
            if not received and self._was_reset:
                raise anyio.BrokenResourceError
            if not received:
                raise anyio.EndOfStream
            return received

    async def send(self, item: bytes) -> None:
        """Send bytes, waiting as long as the client takes none.

        Returns as soon as the kernel has them all.

        Raises:
            BrokenResourceError: the connection was reset.
            ClosedResourceError: this side closed the connection.
        """
        await checkpoint()
        left = self.send_now(item)
        while left:
            await self.wait_writable()
            left = self.send_now(left)

    def send_now(self, item: bytes | memoryview) -> memoryview:
        """Send what the kernel takes without waiting; return the rest."""
        left = memoryview(item)
        while left:
            try:
                sent = self._use(self._socket.send, left)
            except BlockingIOError:
                break
            left = left[sent:]
        return left

    async def wait_writable(self) -> None:
        """Wait until the kernel takes bytes, or the connection ends."""
        if self._is_closed:
            raise anyio.ClosedResourceError
        await anyio.wait_writable(self._socket)

    async def send_eof(self) -> None:
        """Tell the client that nothing more follows."""
        self._use(self._socket.shutdown, socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the connection; unread bytes make this a reset."""
        self.close()

    def close(self) -> None:
        """Close the connection and wake the tasks that use it."""
        if not self._is_closed:
            self._is_closed = True
            anyio.notify_closing(self._socket)
            self._socket.close()

    def has_hung_up(self) -> bool:
        """Return whether the client closed its side, also behind unread bytes."""
        return self._is_closed or self._polls(_HANG_UP)

    def has_bytes(self) -> bool:
        """Return whether bytes wait to be read, or the end of the connection."""
        return self._is_closed or self._polls(_HANG_UP | select.POLLIN)

    def is_reset(self) -> bool:
        """Return whether the connection was reset, also behind a close.

        The kernel says so even if a read or a write has reported it before.
        """
        return self._is_closed or self._polls(_RESET)

    def unacknowledged(self) -> int:
        """Return how many sent bytes the other host has not acknowledged."""
        unknown = struct.pack('i', 0)
        try:
            packed = fcntl.ioctl(self._socket, termios.TIOCOUTQ, unknown)
        except OSError as exc:
            logger.info('Unacknowledged bytes of a socket unknown: %r', exc)
            return 0
        return struct.unpack('i', packed)[0]

    def _polls(self, events: int) -> bool:
        poll = select.poll()
        poll.register(self._socket, events)
        return bool(poll.poll(0))

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the typed attributes of the socket."""
        return {SocketAttribute.raw_socket: lambda: self._socket}

    def _use(self, call: Callable[..., Any], argument: Any) -> Any:
        """Call the socket and report its errors as those of a stream."""
        if self._is_closed:
            raise anyio.ClosedResourceError
        try:
            return call(argument)
        except BlockingIOError:
            raise
        except OSError as exc:
            # A reset that follows a close is reported as EPIPE.
            self._was_reset |= exc.errno != errno.EPIPE
            raise anyio.BrokenResourceError from exc

    async def _wait_readable(self) -> None:
        if self._is_closed:
            raise anyio.ClosedResourceError
        await anyio.wait_readable(self._socket)


async def open_stream(address: str) -> BoundedStream:
    """Connect to an IPv4 address and port.

    Raises:
        OSError: the address is invalid, or the connection was not established.
    """
    host, port = _endpoint(address)
    sock = socket.socket()
    is_open = False
    try:
        await _connect(sock, host, port)
        is_open = True
    finally:
        if not is_open:
            sock.close()
    return BoundedStream(sock)


def _endpoint(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; a name is not looked up."""
    host, _, port = address.rpartition(':')
    try:
        socket.inet_pton(socket.AF_INET, host)
        number = int(port)
    except (OSError, TypeError, ValueError) as exc:
        reason = f'not an IPv4 address and port: {address!r}'
        raise OSError(errno.EINVAL, reason) from exc
    if not 0 < number <= MAX_PORT:
        raise OSError(errno.EINVAL, f'port {number} out of range')
    return host, number


async def _connect(sock: socket.socket, host: str, port: int) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex((host, port))
    if code == errno.EINPROGRESS:
        await anyio.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, f'no connection to {host}:{port}')
