"""Configure sockets and name the errors that end a connection."""

import errno
import socket
import struct
from collections.abc import Iterator

import anyio
from anyio.abc import ByteStream, SocketAttribute

#: Length of the queue of connections to accept. All entries connect to a new
#: home at the same moment: with the usual 100, further SYN packets were
#: dropped and retransmitted only after more than a second.
BACKLOG = 1024
#: Maximum bytes per read from a socket.
READ_BYTES = 65536
#: Parsed parts of one connection that are handled before others get their turn.
EVENTS_PER_SLICE = 64
#: Seconds after which unacknowledged data ends a connection: less than
#: the time-out of callers for a stalled stream (4 s for the users), and long
#: enough for a lossy network and for a server that reads slowly.
TCP_USER_TIMEOUT_SECONDS = 3.0
TCP_USER_TIMEOUT_MS = int(TCP_USER_TIMEOUT_SECONDS * 1000)
#: Idle seconds before the first keep-alive probe, and seconds between two
#: probes. A host that lost power closes no connection, so only unanswered
#: probes reveal it.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
#: Number of unanswered probes after which a connection is closed. On Linux the
#: user timeout decides instead where it is set, so both give the same time.
MAX_KEEPALIVE_PROBES = 2
#: Seconds for which a sound server may be silent.
MIN_SILENCE_SECONDS = 1.5

#: Errors for lack of descriptors or memory, which say nothing of a peer.
NO_ROOM_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
#: Errors that a socket raises when its connection has ended.
SOCKET_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


def enable_keepalive(stream: ByteStream) -> None:
    """Let the kernel close a connection whose peer is unreachable."""
    raw = stream.extra(SocketAttribute.raw_socket)
    for level, option, setting in _SOCKET_OPTIONS:
        raw.setsockopt(level, option, setting)


def slices(whole: bytes | bytearray) -> Iterator[memoryview]:
    """Yield the parts of some bytes that are sent at once, without a copy."""
    view = memoryview(whole)
    return (
        view[start : start + READ_BYTES]
        for start in range(0, len(view), READ_BYTES)
    )


def reset_on_close(stream: ByteStream, *, enabled: bool) -> None:
    """Choose whether a close, also by the end of this process, sends RST."""
    raw = stream.extra(SocketAttribute.raw_socket)
    linger = struct.pack('ii', int(enabled), 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
