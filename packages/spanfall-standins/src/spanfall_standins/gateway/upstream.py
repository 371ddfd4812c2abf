"""Stand in for an upstream that answers as a test tells it to."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from spanfall_standins.gateway.server import Seen, answer_bytes

#: Answer one request; False closes the connection.
Behaviour = Callable[['StandInUpstream', Seen, SocketStream], Awaitable[bool]]

EVENT_STREAM = {
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
}


@dataclass(slots=True)
class StandInUpstream:
    """Hold what an upstream has seen and how it answers next."""

    lifetime: str
    behaviour: Behaviour
    seen: list[Seen] = field(default_factory=list)
    #: Requests whose client closed before the answer was whole.
    left: list[Seen] = field(default_factory=list)
    #: What it says of itself in all its answers, as headers.
    says: dict[str, str] = field(default_factory=dict)
    #: Cancelled as the upstream's process ends.
    life: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def answer(self, seen: Seen, stream: SocketStream) -> bool:
        """Answer one request."""
        self.seen.append(seen)
        return await self.behaviour(self, seen, stream)

    def signed(self, seen: Seen) -> dict[str, str]:
        """Return the headers that mark an answer as this upstream's."""
        attempt = seen.headers.get('attempt', '')
        mark = f'{self.lifetime}.{attempt}'
        return {'attempt': attempt, 'signed': mark, **self.says}


def whole(status: int = 200, body: bytes = b'done') -> Behaviour:
    """Answer whole."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        await stream.send(answer_bytes(status, body, upstream.signed(seen)))
        return True

    return run


def ends_under(deadly: bytes, otherwise: Behaviour) -> Behaviour:
    """End the upstream's process as it begins to run a request."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        if seen.body != deadly:
            return await otherwise(upstream, seen, stream)
        head = answer_bytes(200, b'', {**upstream.signed(seen), **EVENT_STREAM})
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        upstream.life.cancel()
        await anyio.sleep_forever()
        return False

    return run


def refused(status: int = 503) -> Behaviour:
    """Say that the request was not run."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        headers = {'not-run': '1', **upstream.says}
        await stream.send(answer_bytes(status, b'', headers))
        return True

    return run


def raw(*pieces: bytes, keep: bool = False) -> Behaviour:
    """Send bytes as they are; ``{id}`` becomes the attempt's id."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        attempt = seen.headers.get('attempt', '').encode()
        for piece in pieces:
            await stream.send(piece.replace(b'{id}', attempt))
        return keep

    return run


def silent() -> Behaviour:
    """Never answer; note when the client leaves."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            upstream.left.append(seen)
        return False

    return run


def events(first: int, last: int, *, ends: bool = True) -> Behaviour:
    """Send events with ids ``first`` to ``last``, or break off inside one."""

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        head = answer_bytes(200, b'', {**upstream.signed(seen), **EVENT_STREAM})
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
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        known = int(seen.headers.get('last-event-id', '0'))
        behaviour = events(known + 1, last)
        if not known:
            behaviour = events(1, breaks_after, ends=False)
        return await behaviour(upstream, seen, stream)

    return run


def chunk(content: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def in_turn(*behaviours: Behaviour) -> Behaviour:
    """Answer the first request the first way, and so on; then the last."""
    left = list(behaviours)

    async def run(
        upstream: StandInUpstream,
        seen: Seen,
        stream: SocketStream,
    ) -> bool:
        behaviour = left.pop(0) if len(left) > 1 else left[0]
        return await behaviour(upstream, seen, stream)

    return run
