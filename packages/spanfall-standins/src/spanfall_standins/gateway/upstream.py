"""Stand in for an upstream that answers as a test tells it to."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from spanfall_standins.gateway.server import ReceivedRequest, encode_response

#: Answer one request; False closes the connection.
Behaviour = Callable[
    ['StandInUpstream', ReceivedRequest, SocketStream], Awaitable[bool]
]

EVENT_STREAM = {
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
}


@dataclass(slots=True)
class StandInUpstream:
    """Hold what an upstream has seen and how it answers next."""

    lifetime: str
    behaviour: Behaviour
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    #: Requests whose client closed before the answer was whole.
    abandoned_requests: list[ReceivedRequest] = field(default_factory=list)
    #: What it says of itself in all its answers, as headers.
    statement_headers: dict[str, str] = field(default_factory=dict)
    #: Cancelled as the upstream's process ends.
    process_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def answer(
        self, request: ReceivedRequest, stream: SocketStream
    ) -> bool:
        """Answer one request."""
        self.received_requests.append(request)
        return await self.behaviour(self, request, stream)

    def response_headers(self, request: ReceivedRequest) -> dict[str, str]:
        """Return the headers that mark an answer as this upstream's."""
        attempt = request.headers.get('attempt', '')
        signature = f'{self.lifetime}.{attempt}'
        return {
            'attempt': attempt,
            'signed': signature,
            **self.statement_headers,
        }


def complete_response(status: int = 200, body: bytes = b'done') -> Behaviour:
    """Answer whole."""

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
    """End the upstream's process as it begins to run a request."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        if request.body != crashing_body:
            return await other_behaviour(upstream, request, stream)
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        upstream.process_scope.cancel()
        await anyio.sleep_forever()
        return False

    return run


def refused(status: int = 503) -> Behaviour:
    """Say that the request was not run."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        headers = {'not-run': '1', **upstream.statement_headers}
        await stream.send(encode_response(status, b'', headers))
        return True

    return run


def raw(*pieces: bytes, keep: bool = False) -> Behaviour:
    """Send bytes as they are; ``{id}`` becomes the attempt's id."""

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        attempt = request.headers.get('attempt', '').encode()
        for piece in pieces:
            await stream.send(piece.replace(b'{id}', attempt))
        return keep

    return run


def silent() -> Behaviour:
    """Never answer; note when the client leaves."""

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


def events(first: int, last: int, *, ends: bool = True) -> Behaviour:
    """Send events with ids ``first`` to ``last``, or break off inside one."""

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
            await stream.send(chunk(b'id: %d\ndata: x\n\n' % number))
        if ends:
            await stream.send(b'0\r\n\r\n')
        else:
            await stream.send(chunk(b'id: 99\nda'))
        return ends

    return run


def resumable(last: int, breaks_after: int) -> Behaviour:
    """Go on after the last event that the caller has.

    A run from the start breaks off inside the event after ``breaks_after``.
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
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def in_turn(*behaviours: Behaviour) -> Behaviour:
    """Answer the first request the first way, and so on; then the last."""
    remaining = list(behaviours)

    async def run(
        upstream: StandInUpstream,
        request: ReceivedRequest,
        stream: SocketStream,
    ) -> bool:
        behaviour = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return await behaviour(upstream, request, stream)

    return run
