"""Parse the requests of one connection, and tell which parts cost much."""

import re
from dataclasses import dataclass, field

import h11

from spanfall_node.gateway.net.errors import BadRequestError
from spanfall_node.gateway.net.sockets import EVENTS_PER_SLICE
from spanfall_node.gateway.requests.caller_request import (
    PLAIN_FIELDS,
    CallerRequest,
)
from spanfall_node.gateway.requests.chunk_merging import ChunkMerger

#: Bytes of a head that its limit does not count: the method, the version, and
#: the ends of the request line and of the head.
UNCOUNTED_HEAD_BYTES = 256
#: Least bytes of a field that are sent beside its name and value: a colon, CRLF.
FIELD_FRAME_BYTES = 3

_HEAD_END = re.compile(rb'\n\r?\n')


@dataclass(slots=True)
class RequestParser:
    """Hold the protocol state of one connection."""

    max_head_bytes: int
    protocol: h11.Connection = field(init=False)
    #: Merges the chunks of the current body, if it has any.
    _merger: ChunkMerger | None = None
    #: Lines that arrived since the last request.
    _lines: int = 0

    def __post_init__(self) -> None:
        """Start the protocol with the limit on the size of a head."""
        self.protocol = h11.Connection(
            h11.SERVER, self.max_head_bytes + UNCOUNTED_HEAD_BYTES
        )

    @property
    def unparsed(self) -> int:
        """Return the number of bytes that were read and not yet parsed."""
        return len(self.protocol.trailing_data[0])

    @property
    def has_costly_head(self) -> bool:
        """Return whether a head of many fields waits to be parsed."""
        if self._lines <= PLAIN_FIELDS:
            return False
        return bool(_HEAD_END.search(self.protocol.trailing_data[0]))

    @property
    def has_costly_chunks(self) -> bool:
        """Return whether the last bytes of the body came in many chunks."""
        return self._merger is not None and (
            self._merger.merged > EVENTS_PER_SLICE
        )

    def receive(self, received: bytes) -> None:
        """Take bytes that have arrived."""
        if self._merger is None:
            self._lines += received.count(b'\n')
            self.protocol.receive_data(received)
            return
        merged = self._merger.feed(received)
        # The parser takes no bytes for the end of the connection.
        if merged:
            self.protocol.receive_data(merged)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return what was parsed, or NEED_DATA.

        Raises:
            BadRequestError: the bytes are no request.
        """
        try:
            event = self.protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(
                exc.error_status_hint, f'malformed request: {exc}'
            ) from exc
        if isinstance(event, h11.Request):
            self._begin_body(event)
        return event

    def checked_head(self, event: h11.Request) -> CallerRequest:
        """Return the head of a request.

        Raises:
            BadRequestError: it is larger than callers may send.
        """
        headers = list(event.headers)
        size = len(event.target) + sum(
            len(name) + len(text) + FIELD_FRAME_BYTES for name, text in headers
        )
        if size > self.max_head_bytes:
            raise BadRequestError(
                431,
                f'request head too large: got {size} bytes, '
                f'at most {self.max_head_bytes} are read',
            )
        return CallerRequest(
            event.method.decode('ascii'),
            event.target.decode('ascii'),
            headers,
        )

    def start_next(self) -> bool:
        """Prepare for the next request; return False if there can't be one."""
        protocol = self.protocol
        if protocol.our_state is not h11.DONE:
            return False
        if protocol.their_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        self._merger = None
        self._lines = protocol.trailing_data[0].count(b'\n')
        return True

    def _begin_body(self, event: h11.Request) -> None:
        if any(name == b'transfer-encoding' for name, _ in event.headers):
            self._merger = ChunkMerger()
            self._merger.follow(self.protocol.trailing_data[0])
