"""Call HTTP servers over connections with an explicit state.

A connection carries one request at a time. It reports how far a request got,
whether the response was complete and whether the connection can be reused.
"""

import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import h11
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.limits.memory_budget import FREE_BYTES

from spanfall_node.gateway.net.body_ends import (
    FRAMING_ENDS,
    BodyEnd,
    BodyFraming,
    body_framing,
)
from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.errors import BrokenCallError
from spanfall_node.gateway.net.ports import HttpCall
from spanfall_node.gateway.net.request_heads import framed_request
from spanfall_node.gateway.net.response_bounds import ResponseBounds
from spanfall_node.gateway.net.response_heads import ResponseHead, check_head
from spanfall_node.gateway.net.sockets import (
    EVENTS_PER_SLICE,
    READ_BYTES,
    SOCKET_ERRORS,
    slices,
)

logger = logging.getLogger(__name__)

#: Maximum bytes of the head of a response.
MAX_HEAD_BYTES = 65536
#: Bodies of at least this many bytes are sent while the response is awaited,
#: since a server may respond before it has read the whole body.
LARGE_BODY_BYTES = 32768
#: Seconds for which an idle connection is kept if the server gives no
#: keep-alive time-out.
DEFAULT_IDLE_SECONDS = 10.0
#: Fraction of the server's keep-alive time-out after which the client closes
#: the connection first.
IDLE_FRACTION = 0.7
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


@dataclass(slots=True, eq=False)
class Connection:
    """Manage one connection to a server."""

    stream: BoundedStream
    address: str
    #: Parses responses, and encodes the request unless a response to another
    #: request was discarded meanwhile.
    protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
    )
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    #: Whether no peer stands between this node and the server.
    is_direct: bool = True
    #: Whether the current request may be processed only once.
    runs_once: bool = False
    #: Times of the event loop at which data was last received and at which the
    #: current request began.
    received_at: float = field(default_factory=anyio.current_time)
    began_at: float = field(default_factory=anyio.current_time)
    #: Whether the connection can be reused after the last response.
    reusable: bool = False
    is_closed: bool = False
    #: What delimits the body of the current response.
    framing: BodyFraming = BodyFraming.NO_BODY
    #: How the body of the current response ended, once it has.
    body_end: BodyEnd | None = None
    #: Whether the current response, which ends with the connection, began
    #: before the server had taken the request.
    is_early: bool = False
    #: Bytes that are read at a time.
    read_bytes: int = FREE_BYTES
    _at_eof: bool = False
    _sent_request: h11.Request | None = None
    #: Encodes the current request, and knows how much of its body was sent.
    _encoder: h11.Connection | None = None
    _body_sent: bool = True
    #: What may still arrive before the response; None: it is not awaited.
    _bounds: ResponseBounds | None = None
    _events: int = 0

    async def send(self, call: HttpCall, host: str) -> None:
        """Send a request with its whole body.

        Raises:
            NotSentError: HTTP cannot express the request.
            BrokenCallError: the connection ended; the request may be
                processed all the same.
        """
        await self._send_rest(self._begin(call, host), call.body)

    def _begin(self, call: HttpCall, host: str) -> bytes:
        """Begin a request; return the bytes of its head."""
        self._sent_request = framed_request(call, host)
        self._encoder = self.protocol
        self._body_sent = False
        return self._encoder.send(self._sent_request)

    async def _send_rest(self, head: bytes, body: bytes) -> None:
        pieces = [head]
        for part in slices(body):
            pieces.append(self._encoder.send(h11.Data(data=part)))
            if len(part) == READ_BYTES:
                await self._write(b''.join(pieces))
                pieces.clear()
        pieces.append(self._encoder.send(h11.EndOfMessage()))
        await self._write(b''.join(pieces))
        self._body_sent = True

    async def send_and_read_head(
        self,
        call: HttpCall,
        host: str,
        is_matching: Callable[[ResponseHead], bool],
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        A server may respond before it has read a large body: the rest is then
        not sent, and the connection is not reused.

        Raises:
            BrokenCallError: no response arrived; the request may be processed
                all the same.
        """
        if len(call.body) < LARGE_BODY_BYTES:
            await self.send(call, host)
            return await self.read_head(is_matching)
        ends: list[ResponseHead | BrokenCallError] = []
        sent_head = self._begin(call, host)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_logging_errors, sent_head, call.body)
            try:
                ends.append(await self.read_head(is_matching))
            except BrokenCallError as exc:
                ends.append(exc)
            tasks.cancel_scope.cancel()
        if isinstance(ends[0], BrokenCallError):
            raise ends.pop()
        return ends[0]

    async def _send_logging_errors(self, head: bytes, body: bytes) -> None:
        """Send a request and log a failure, which the reader also detects."""
        try:
            await self._send_rest(head, body)
        except BrokenCallError as exc:
            logger.info('Request to %s cut short: %s', self.address, exc)

    async def read_head(
        self, is_matching: Callable[[ResponseHead], bool]
    ) -> ResponseHead:
        """Return the head of the response to the last request.

        Interim responses, and responses to earlier requests, are read and
        discarded, a few of them.

        Raises:
            BrokenCallError: no response arrived.
            UnsoundServerError: too much else arrived before it.
        """
        bounds = ResponseBounds()
        self._bounds = bounds
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                bounds.count_interim()
                continue
            head = ResponseHead(
                event.status_code, bytes(event.reason), list(event.headers)
            )
            if is_matching(head):
                self._bounds = None
                self._record_keep_alive(head)
                self.framing = body_framing(
                    self._sent_request.method, head.status, head.headers
                )
                if self.framing is BodyFraming.CONNECTION:
                    # A server that has read the request has acknowledged it.
                    taken = self._body_sent and not self.stream.unacknowledged()
                    self.is_early = not taken
                return head
            if bounds.count_other() == 1:
                logger.warning(
                    'Discarded a response of %s to another request',
                    self.address,
                )
            await self._skip_response()

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or None once it is complete.

        Raises:
            BrokenCallError: the body was truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._finish_response()
        return None

    async def close(self) -> None:
        """Close the connection at once and discard unread data."""
        self.reusable = False
        self.is_closed = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    def start_next(self) -> None:
        """Prepare the connection for another request, or its first one."""
        if self._sent_request is not None:
            self.protocol.start_next_cycle()
        self.reusable = False
        self.body_end = None
        self.is_early = False
        self.read_bytes = FREE_BYTES

    async def _skip_response(self) -> None:
        """Discard the response to another request, and parse anew behind it.

        The current request may still be being sent, which goes on.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
        rest, closed = self.protocol.trailing_data
        new_protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        new_protocol.send(self._sent_request)
        if closed:
            raise BrokenCallError('closed after the answer to another request')
        if rest:
            new_protocol.receive_data(rest)
        self.protocol = new_protocol

    def _record_keep_alive(self, head: ResponseHead) -> None:
        found = _KEEP_ALIVE.search(head.header(b'keep-alive'))
        if found:
            self.idle_seconds = int(found.group(1)) * IDLE_FRACTION

    def _finish_response(self) -> None:
        self.body_end = FRAMING_ENDS[self.framing]
        rest, closed = self.protocol.trailing_data
        clean = not rest and not closed and self._body_sent
        states = {self.protocol.our_state, self.protocol.their_state}
        self.reusable = clean and states == {h11.DONE}

    async def _next_event(self) -> h11.Event:
        self._events += 1
        if not self._events % EVENTS_PER_SLICE:
            await checkpoint()
        while True:
            try:
                event = self.protocol.next_event()
                check_head(event)
            except h11.RemoteProtocolError as exc:
                is_cut = self._at_eof
                self.body_end = BodyEnd.TRUNCATED if is_cut else BodyEnd.INVALID
                raise BrokenCallError(f'not an answer: {exc}') from exc
            if event is not h11.NEED_DATA:
                return self._check_event(event)
            await self._receive()

    def _check_event(self, event: object) -> h11.Event:
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise BrokenCallError('closed without an answer')
        return event

    async def _receive(self) -> None:
        try:
            received = await self.stream.receive(self.read_bytes)
        except anyio.EndOfStream:
            received = b''
            self._at_eof = True
        except SOCKET_ERRORS as exc:
            self.body_end = BodyEnd.RESET
            cause = 'closed here' if self.is_closed else 'reset by the server'
            raise BrokenCallError(cause) from exc
        self.received_at = anyio.current_time()
        if self._bounds is not None:
            self._bounds.count_bytes(len(received))
        self.protocol.receive_data(received)

    async def _write(self, outgoing: bytes) -> None:
        try:
            await self.stream.send(outgoing)
        except SOCKET_ERRORS as exc:
            raise BrokenCallError('reset while sending') from exc
