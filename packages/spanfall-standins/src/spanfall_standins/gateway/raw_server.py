"""Serve connections whose scripts read and write raw bytes as they please.

Nothing is read ahead: what a script does not read stays in the kernel, which
holds the client back and resets the connection when it is closed.
"""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

READ_BYTES = 65_536
#: Length of the queue of connections to accept.
BACKLOG = 128


@dataclass(frozen=True, slots=True)
class RawConnection:
    """Read and write one accepted connection."""

    sock: socket.socket

    async def read(self) -> bytes:
        """Return received bytes, or b'' once the client closed its side."""
        await anyio.wait_readable(self.sock)
        return self.sock.recv(READ_BYTES)

    async def read_head(self) -> bytes:
        """Return the head of a request and what came with it, or b''."""
        head = b''
        while b'\r\n\r\n' not in head:
            received = await self.read()
            if not received:
                return b''
            head += received
        return head

    async def discard(self, size: int) -> None:
        """Read and discard some bytes, fewer if the client closes its side."""
        while size > 0:
            received = await self.read()
            if not received:
                return
            size -= len(received)

    async def send(self, content: bytes) -> None:
        """Send bytes."""
        left = memoryview(content)
        while left:
            await anyio.wait_writable(self.sock)
            left = left[self.sock.send(left) :]

    def close_sending(self) -> None:
        """Send FIN; what the client sends can still be read."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Send RST."""
        linger = struct.pack('ii', 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()


#: Serves one connection, which is closed afterwards.
Script = Callable[[RawConnection], Awaitable[None]]


async def start_raw_server(
    tasks: TaskGroup, script: Script, buffer_bytes: int | None = None
) -> str:
    """Serve each connection by a script; return the address.

    ``buffer_bytes`` bounds what the kernel holds of a connection unread.
    """
    listener = socket.socket()
    if buffer_bytes is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    listener.setblocking(False)
    listener.bind(('127.0.0.1', 0))
    listener.listen(BACKLOG)
    tasks.start_soon(_accept_all, listener, tasks, script)
    return f'127.0.0.1:{listener.getsockname()[1]}'


async def _accept_all(
    listener: socket.socket, tasks: TaskGroup, script: Script
) -> None:
    with listener:
        while True:
            await anyio.wait_readable(listener)
            sock, _ = listener.accept()
            sock.setblocking(False)
            tasks.start_soon(_serve, sock, script)


async def _serve(sock: socket.socket, script: Script) -> None:
    with sock:
        try:
            await script(RawConnection(sock))
        except OSError:
            return
