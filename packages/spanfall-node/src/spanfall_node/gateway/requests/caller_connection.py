"""Serve HTTP/1.1 on one caller's connection.

The connection distinguishes a caller that disconnected from one that is idle,
buffers pipelined bytes, and ends an incomplete response visibly truncated.
"""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import h11
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.limits.phases import Phase

from spanfall_node.gateway.net.errors import BadRequestError, CallerGoneError
from spanfall_node.gateway.net.sockets import (
    EVENTS_PER_SLICE,
    READ_BYTES,
    SOCKET_ERRORS,
)
from spanfall_node.gateway.net.turns import BULK_BYTES, NoTurnError
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.requests.response_writer import ResponseWriter

#: Bytes that are read of what a caller sends ahead; the rest stays in the kernel.
MAX_AHEAD_BYTES = 16_384
#: Seconds between two looks whether a caller that sent more has disconnected.
HANG_UP_SECONDS = 0.25
#: Seconds left to others after the head of a request that was sent ahead: its
#: caller does not wait for answers, so nothing else holds it back.
AHEAD_PAUSE_SECONDS = 0.002
#: Bytes that are read of a head at a time.
HEAD_READ_BYTES = 16_384
#: Bytes that are read at a time of a body that comes in tiny chunks.
CHUNKS_READ_BYTES = 16_384
#: Time left to others after a costly head was parsed, as a multiple of that
#: time: admitting and forwarding the request costs as much again.
HEAD_WEIGHT = 3
#: Reads of fewer bytes are small; a body that needs more small reads than these
#: lets its bytes gather in the kernel for some seconds between two of them.
SMALL_READ_BYTES = 2048
MAX_SMALL_READS = 16
SMALL_READ_PAUSE_SECONDS = 0.001
#: Mean bytes of a part of a body below which its parts cost much.
SMALL_PART_BYTES = 64
#: Seconds that a lingering close waits for the caller to close its side, so
#: that a reset does not discard the last response.
LINGER_SECONDS = 1.0
#: Maximum bytes of a refused body that are read and discarded, and the seconds
#: left to others after each read.
MAX_DISCARDED_BYTES = 8_388_608
DISCARD_PAUSE_SECONDS = 0.001

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class CallerConnection(ResponseWriter):
    """Hold the protocol state of one caller's connection."""

    _parts: int = 0
    _slice_bytes: int = 0
    _small_reads: int = 0
    _body_bytes: int = 0

    async def read_request(self) -> CallerRequest | None:
        """Return the next request's head, or None if the caller disconnected.

        Raises:
            BadRequestError: the head is malformed, too large or too slow, or
                other costly work leaves no turn for it.
        """
        is_ahead = bool(self.parser.unparsed)
        if not is_ahead and not await self._wait_for_bytes():
            return None
        self.enter(Phase.HEAD)
        with anyio.move_on_after(self.limits.header_timeout) as scope:
            event = await self._next_head(scope, is_ahead=is_ahead)
            if not isinstance(event, h11.Request):
                return None
            self.enter(Phase.SERVING)
            return self._checked_head(event)
        raise BadRequestError(408, 'request head timed out')

    async def send_continue(self) -> None:
        """Ask for the body if the caller waits for that."""
        if self.protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self.protocol.send(interim))

    async def next_body_event(self) -> h11.Data | h11.EndOfMessage:
        """Return the next part of the body, or its end.

        Raises:
            BadRequestError: the body is malformed or too slow.
            CallerGoneError: the caller disconnected.
        """
        self._parts += 1
        if not self._parts % EVENTS_PER_SLICE:
            await self._let_others_run()
        while True:
            event = self._parse()
            if isinstance(event, h11.ConnectionClosed):
                raise CallerGoneError
            if isinstance(event, h11.Data):
                self._slice_bytes += len(event.data)
            if event is not h11.NEED_DATA:
                return event
            await self._receive_body()

    async def wait_for_disconnect(self) -> None:
        """Return when the caller disconnects; buffer what it sends ahead."""
        while self.parser.unparsed < MAX_AHEAD_BYTES:
            try:
                received = await self.stream.receive(MAX_AHEAD_BYTES)
            except SOCKET_ERRORS:
                self.gone = True
                return
            self.parser.receive(received)
        while not self.stream.has_hung_up():
            await anyio.sleep(HANG_UP_SECONDS)
        self.gone = True

    def start_next(self) -> bool:
        """Prepare for the next request; return False if the connection ends."""
        if self.closing or self.gone:
            return False
        self._small_reads = 0
        self._body_bytes = 0
        self.has_given_way = False
        self.enter(Phase.IDLE)
        return self.parser.start_next()

    async def close_gracefully(self, seconds: float = LINGER_SECONDS) -> None:
        """Close with a lingering close, so that the last response arrives."""
        self.enter(Phase.CLOSING)
        with anyio.move_on_after(seconds, shield=True):
            try:
                await self._discard_rest()
            except SOCKET_ERRORS:
                self.gone = True
            except NoTurnError as exc:
                logger.info('Unread bytes of a caller are left: %s', exc)
        await self.abort()

    async def _discard_rest(self) -> None:
        """Discard what the caller still sends, until it closes its side.

        It takes turns: a crowd may send as fast as this is read.
        """
        await self.stream.send_eof()
        dropped = len(await self.stream.receive(READ_BYTES))
        while dropped < MAX_DISCARDED_BYTES:
            async with self.turns.take(pause=DISCARD_PAUSE_SECONDS):
                logger.debug('Discarded %s bytes of a caller', dropped)
            dropped += len(await self.stream.receive(READ_BYTES))

    async def _let_others_run(self) -> None:
        """Give others their turn after a slice of a body, or several turns."""
        is_costly = self._slice_bytes < EVENTS_PER_SLICE * SMALL_PART_BYTES
        self._slice_bytes = 0
        if is_costly:
            async with self._turn(1, SMALL_READ_PAUSE_SECONDS):
                return
        await checkpoint()

    async def _wait_for_bytes(self) -> bool:
        with anyio.move_on_after(self.limits.idle_timeout):
            try:
                received = await self.stream.receive(HEAD_READ_BYTES)
            except SOCKET_ERRORS:
                self.gone = True
                return False
            self.parser.receive(received)
            return True
        return False

    async def _next_head(
        self, scope: anyio.CancelScope, *, is_ahead: bool
    ) -> h11.Event:
        while True:
            if is_ahead or self.parser.has_costly_head:
                event = await self._parse_in_turn(scope)
            else:
                event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            is_ahead = False
            self.parser.receive(await self._receive(HEAD_READ_BYTES))

    async def _parse_in_turn(
        self, scope: anyio.CancelScope
    ) -> h11.Event | type[h11.NEED_DATA]:
        """Parse a head when others leave a turn; extend its time by the wait."""
        waits_from = anyio.current_time()
        async with self._turn(HEAD_WEIGHT, AHEAD_PAUSE_SECONDS):
            scope.deadline += anyio.current_time() - waits_from
            return self._parse()

    @asynccontextmanager
    async def _turn(self, weight: float, pause: float) -> AsyncIterator[None]:
        try:
            async with self.turns.take(weight, pause):
                yield
        except NoTurnError as exc:
            raise BadRequestError(503, str(exc)) from exc

    def _parse(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self.parser.next_event()
        except BadRequestError:
            self.closing = True
            raise

    async def _receive_body(self) -> None:
        """Receive more of a body, in turn if that costs much."""
        is_costly = self.parser.has_costly_chunks
        most = CHUNKS_READ_BYTES if is_costly else READ_BYTES
        received = b''
        with anyio.move_on_after(self.limits.idle_timeout):
            received = await self._receive(most)
        if not received:
            self.closing = True
            raise BadRequestError(408, 'request body timed out')
        self._body_bytes += len(received)
        self._small_reads += len(received) < SMALL_READ_BYTES
        is_small = self._small_reads > MAX_SMALL_READS
        if is_costly or is_small or self._body_bytes > BULK_BYTES:
            pause = SMALL_READ_PAUSE_SECONDS if is_small else 0
            async with self._turn(1, pause):
                self.parser.receive(received)
        else:
            self.parser.receive(received)

    async def _receive(self, most: int) -> bytes:
        try:
            received = await self.stream.receive(most)
        except SOCKET_ERRORS as exc:
            self.gone = True
            raise CallerGoneError from exc
        self.table.record(self.stream, len(received))
        return received

    def _checked_head(self, event: h11.Request) -> CallerRequest:
        try:
            return self.parser.checked_head(event)
        except BadRequestError:
            self.closing = True
            raise
