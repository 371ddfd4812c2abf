"""Set up sockets, and name the ways in which they end."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

#: Connections that may wait to be accepted. All entries link to a new home at
#: one moment: beyond the usual 100, the opening packets of the others were
#: dropped and came again after more than a second.
BACKLOG = 1024
#: Bytes read from a socket at a time.
READ_BYTES = 65536
#: Milliseconds after which bytes that nobody acknowledges end a connection:
#: before a caller gives up on a stream that pauses (4 s at the users'), and
#: long enough for a lossy link and for a server that is slow to read.
TCP_USER_TIMEOUT_MS = 3000
#: Seconds of silence after which the other end is probed, and seconds between
#: two probes. A host without power says nothing; only this shows it.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
#: Probes without an answer that end a connection.
MAX_KEEPALIVE_PROBES = 2

#: What a socket raises when its connection is over.
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


def enable_keepalive(stream: SocketStream) -> None:
    """Let the system end a connection whose other end cannot be reached."""
    raw = stream.extra(SocketAttribute.raw_socket)
    for level, option, setting in _SOCKET_OPTIONS:
        raw.setsockopt(level, option, setting)
