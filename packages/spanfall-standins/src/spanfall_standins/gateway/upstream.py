"""Simulate an upstream with configurable responses."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketAttribute, SocketStream

from spanfall_standins.gateway.server import ReceivedRequest, encode_response

#: Answers one request; returns False to close the connection.
Behaviour = Callable[
    ['StandInUpstream', ReceivedRequest, SocketStream], Awaitable[bool]
]

EVENT_STREAM = {
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
}


@dataclass(slots=True)
class StandInUpstream:
    """Record the requests to an upstream and answer with a behaviour."""

    lifetime: str
    behaviour: Behaviour
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    #: Requests whose client disconnected before the response was complete.
    abandoned_requests: list[ReceivedRequest] = field(default_factory=list)
    #: Headers with its statement about itself, sent with every response.
    statement_headers: dict[str, str] = field(default_factory=dict)
    #: Cancelled when the upstream's process exits.
    process_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def answer(
        self, request: ReceivedRequest, stream: SocketStream
    ) -> bool:
        """Answer one request with the current behaviour."""
        self.received_requests.append(request)
        return await self.behaviour(self, request, stream)

    def response_headers(self, request: ReceivedRequest) -> dict[str, str]:
        """Return the signature and the statement headers of a response."""
        attempt = request.headers.get('attempt', '')
        signature = f'{self.lifetime}.{attempt}'
        return {
            'attempt': attempt,
            'signed': signature,
            **self.statement_headers,
        }


def complete_response(status: int = 200, body: bytes = b'done') -> Behaviour:
    """Answer each request with a complete response."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        await stream.send(
            encode_response(status, body, upstream.response_headers(request))
        )
        return True

    return run


def crashes_on(crashing_body: bytes, other_behaviour: Behaviour) -> Behaviour:
    """Crash the upstream when it starts to run a request with a given body."""
    return crashes_if(
        lambda request: request.body == crashing_body, other_behaviour
    )


def crashes_if(
    is_crashing: Callable[[ReceivedRequest], bool],
    other_behaviour: Behaviour,
    delay: float = 0,
) -> Behaviour:
    """Crash the upstream ``delay`` seconds after it receives some requests."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        if not is_crashing(request):
            return await other_behaviour(upstream, request, stream)
        await anyio.sleep(delay)
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        upstream.process_scope.cancel()
        await anyio.sleep_forever()
        return False

    return run


def refused(status: int = 503) -> Behaviour:
    """Refuse each request and mark it as not run."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        headers = {'not-run': '1', **upstream.statement_headers}
        await stream.send(encode_response(status, b'', headers))
        return True

    return run


def raw(*pieces: bytes, keep: bool = False, resets: bool = False) -> Behaviour:
    """Send raw bytes, replacing ``{id}`` by the id of the attempt.

    ``keep`` keeps the connection open afterwards; ``resets`` resets it.
    """

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        attempt = request.headers.get('attempt', '').encode()
        for piece in pieces:
            await stream.send(piece.replace(b'{id}', attempt))
        if resets:
            _reset(stream)
        return keep

    return run


def _reset(stream: SocketStream) -> None:
    """Make the close of a connection send RST."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    linger = struct.pack('ii', 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def silent() -> Behaviour:
    """Never answer; record the request when its client disconnects."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            upstream.abandoned_requests.append(request)
        return False

    return run


def events(
    first: int, last: int, *, ends: bool = True, pause: float = 0
) -> Behaviour:
    """Send events with ids ``first`` to ``last``, each after a pause.

    Without ``ends``, the stream breaks off in the middle of one more event.
    """

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        for number in range(first, last + 1):
            await anyio.sleep(pause)
            await stream.send(chunk(b'id: %d\ndata: x\n\n' % number))
        if ends:
            await stream.send(b'0\r\n\r\n')
        else:
            await stream.send(chunk(b'id: 99\nda'))
        return ends

    return run


def resumable(last: int, breaks_after: int) -> Behaviour:
    """Resume the stream after the event in the last-event-id header.

    A stream that starts from the beginning breaks off in the middle of the
    event after ``breaks_after``.
    """

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        last_event_id = int(request.headers.get('last-event-id', '0'))
        behaviour = events(last_event_id + 1, last)
        if not last_event_id:
            behaviour = events(1, breaks_after, ends=False)
        return await behaviour(upstream, request, stream)

    return run


def chunk(content: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def in_turn(*behaviours: Behaviour) -> Behaviour:
    """Use one behaviour per request in order; repeat the last one."""
    remaining = list(behaviours)

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        behaviour = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return await behaviour(upstream, request, stream)

    return run


@dataclass(slots=True)
class BrittlePlaces:
    """Run some requests at once; end after too many rejections in a second."""

    slots: int
    #: Rejections in a second that the upstream survives.
    survives: int
    seconds: float
    #: Requests that run now, and times of the rejections.
    running: int = 0
    rejected_at: list[float] = field(default_factory=list)

    @property
    def has_fallen(self) -> bool:
        """Return whether it has rejected too many requests in some second."""
        window = self.survives + 1
        pairs = zip(
            self.rejected_at, self.rejected_at[window - 1 :], strict=False
        )
        return any(last - first <= 1 for first, last in pairs)

    async def respond(
        self,
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        """Run a request, or reject it if all places are taken."""
        states = {'survives': str(self.survives)}
        if self.running >= self.slots:
            self.rejected_at.append(anyio.current_time())
            headers = {'not-run': '1', **states}
            await stream.send(encode_response(503, b'', headers))
            return True
        self.running += 1
        try:
            await anyio.sleep(self.seconds)
        finally:
            self.running -= 1
        headers = {**upstream.response_headers(request), **states}
        await stream.send(encode_response(200, b'done', headers))
        return True
