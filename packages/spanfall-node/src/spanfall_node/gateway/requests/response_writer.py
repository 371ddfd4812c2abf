"""Write the responses to the requests of one connection.

An incomplete response ends visibly truncated.
"""

import logging
from dataclasses import dataclass, field

import anyio
import h11
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.known.configuration import CallerLimits
from spanfall_core.gateway.limits.memory_budget import HeldBytes, MemoryBudget
from spanfall_core.gateway.limits.phases import Phase

from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.errors import CallerGoneError
from spanfall_node.gateway.net.ports import Headers
from spanfall_node.gateway.net.sockets import (
    READ_BYTES,
    SOCKET_ERRORS,
    reset_on_close,
    slices,
)
from spanfall_node.gateway.net.turns import Turns
from spanfall_node.gateway.requests.request_parser import RequestParser

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class ResponseWriter:
    """Hold a caller's connection and the response that is written to it."""

    stream: BoundedStream
    limits: CallerLimits
    turns: Turns
    #: Holds what the connection does, among those of its address.
    table: ConnectionTable
    parser: RequestParser = field(init=False)
    #: Bytes that the node holds for the current request.
    held: HeldBytes = field(default_factory=lambda: HeldBytes(MemoryBudget(0)))
    #: Ends the reading of the current body; None while none is read.
    reading: anyio.CancelScope | None = None
    #: Whether the current body was given up for others.
    has_given_way: bool = False
    #: Whether the connection closes after the current response.
    closing: bool = False
    #: Whether the caller disconnected, or the connection has to be aborted.
    gone: bool = False
    #: Whether the end of the connection delimits the current response.
    ends_with_connection: bool = False

    def __post_init__(self) -> None:
        """Start the protocol with the configured limit of heads."""
        self.parser = RequestParser(self.limits.header_bytes)
        self.table.hold_for(self.stream, self)

    @property
    def protocol(self) -> h11.Connection:
        """Return the state of the protocol."""
        return self.parser.protocol

    @property
    def is_responding(self) -> bool:
        """Return whether a response has begun and is not complete."""
        return self.protocol.our_state is h11.SEND_BODY

    def enter(self, phase: Phase) -> None:
        """Record what the connection does from now on."""
        self.table.enter(self.stream, phase)

    def give_way(self) -> None:
        """End what the caller sends or takes, as others need the room."""
        self.has_given_way = True
        self.release_held()
        if self.reading is not None:
            self.reading.cancel()
            return
        self.gone = True
        self.stream.close()

    def release_held(self) -> None:
        """Release what is held for the current request and its response."""
        self.held.shrink_to(0, self.table.now())

    async def send_head(
        self, status: int, headers: Headers, *, is_delimited: bool = True
    ) -> None:
        """Send the head of a response whose body is sent in parts.

        Unless ``is_delimited``, the body ends with the connection, and a reset
        marks an incomplete one. Bodies for HTTP/1.0 callers always do.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        await self._write(self._head(status, headers, is_delimited))

    async def send_part(self, part: bytes) -> None:
        """Send a part of the response body.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        await self._write(self.protocol.send(h11.Data(data=part)))

    async def send_end(self) -> None:
        """Mark the response as complete.

        Raises:
            CallerGoneError: the caller disconnected.
        """
        await self._write(self.protocol.send(h11.EndOfMessage()))
        self._mark_complete()

    async def send_response(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        is_delimited: bool = True,
    ) -> None:
        """Send a complete response, as ``send_head`` and its parts do."""
        pieces = [self._head(status, headers, is_delimited)]
        for part in slices(body):
            pieces.append(self.protocol.send(h11.Data(data=part)))
            if len(part) == READ_BYTES:
                await self._write(b''.join(pieces))
                pieces.clear()
        pieces.append(self.protocol.send(h11.EndOfMessage()))
        await self._write(b''.join(pieces))
        self._mark_complete()

    async def abort(self) -> None:
        """Close at once, so that the caller detects an incomplete response."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    def _head(self, status: int, headers: Headers, is_delimited: bool) -> bytes:
        if not is_delimited:
            # Makes h11 delimit the body by the end of the connection.
            self.protocol.their_http_version = b'1.0'
        if self.closing:
            headers = [*headers, (b'connection', b'close')]
        response = h11.Response(status_code=status, headers=headers)
        has_length = b'content-length' in dict(headers)
        if not has_length and self.protocol.their_http_version == b'1.0':
            self.ends_with_connection = True
            self._reset_on_close(enabled=True)
        return self.protocol.send(response)

    def _mark_complete(self) -> None:
        if self.ends_with_connection:
            self.closing = True
            self._reset_on_close(enabled=False)

    def _reset_on_close(self, *, enabled: bool) -> None:
        try:
            reset_on_close(self.stream, enabled=enabled)
        except OSError as exc:
            self.gone = True
            raise CallerGoneError from exc

    async def _write(self, outgoing: bytes) -> None:
        if self.gone:
            raise CallerGoneError
        try:
            left = self.stream.send_now(outgoing)
            if left:
                await self._write_slowly(left)
            else:
                await checkpoint()
        except SOCKET_ERRORS as exc:
            self.gone = True
            raise CallerGoneError from exc

    async def _write_slowly(self, left: memoryview) -> None:
        """Write bytes as the caller takes them, all of them within a time."""
        self.enter(Phase.WRITING)
        with anyio.move_on_after(self.limits.idle_timeout):
            while left:
                await self.stream.wait_writable()
                before = len(left)
                left = self.stream.send_now(left)
                self.table.record(self.stream, before - len(left))
            self.enter(Phase.SERVING)
            return
        logger.info(
            'A caller took too long for its response: %s bytes are left '
            'after %s s',
            len(left),
            self.limits.idle_timeout,
        )
        self.gone = True
        raise CallerGoneError
