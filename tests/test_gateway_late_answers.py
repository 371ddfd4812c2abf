"""Test answers to earlier requests that arrive while another one is sent.

Such an answer is discarded. It says nothing of the request that is being sent,
whose bytes and answer are as if it had not come.
"""

import re
from dataclasses import dataclass, field
from enum import Enum, auto

import anyio
import pytest
from gateway_world import (
    dial,
    in_world,
    read_answer,
    request_bytes,
)
from spanfall_standins.gateway.network import Network, Path
from spanfall_standins.gateway.raw_server import start_raw_server
from spanfall_standins.gateway.upstream import raw
from support import wait_until

#: The last one exceeds what the kernels of both hosts hold, so that it is still
#: being sent when late answers come.
EMPTY, SMALL, LARGE, HUGE = 0, 1000, 400_000, 12_000_000
#: Unread bytes that the kernel of the upstream's host holds.
BUFFER_BYTES = 16_384
_ATTEMPT = re.compile(rb'\r\nattempt: (\w+)')
_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)')


class When(Enum):
    """Tell how much of a body the upstream has read before late answers."""

    BEFORE = auto()
    DURING = auto()
    AFTER = auto()


def encoded(
    attempt: bytes, body: bytes = b'done', fields: bytes = b''
) -> bytes:
    return b'HTTP/1.1 200 X\r\nattempt: %s\r\nsigned: s\r\n%s\r\n%s' % (
        attempt,
        fields or b'content-length: %d\r\n' % len(body),
        body,
    )


CHUNKED = b'transfer-encoding: chunked\r\n'
#: An answer to another request, by how its end is marked.
LATE = {
    'length': encoded(b'other', b'late'),
    'empty': encoded(b'other', b''),
    'chunks': encoded(b'other', b'4\r\nlate\r\n0\r\n\r\n', CHUNKED),
    'no body': b'HTTP/1.1 204 X\r\nattempt: other\r\nsigned: s\r\n\r\n',
}


@dataclass
class LateUpstream:
    """Answer each request, and once send late answers before that."""

    late: bytes
    when: When
    #: Requests on a connection that are answered before late ones come.
    answers_first: int
    closes: bool = False
    uploads: list[bytes] = field(default_factory=list)

    async def run(self, conn):
        for number in range(self.answers_first + 2):
            head, _, body = (await conn.read_head()).partition(b'\r\n\r\n')
            if not head:
                return
            length = _LENGTH.search(head)
            size = int(length[1]) if length else 0
            if number == self.answers_first:
                body = await self._send_late(conn, body, size)
                if self.closes:
                    return
            body = await read_until(conn, body, size)
            self.uploads.append(body)
            await conn.send(encoded(_ATTEMPT.search(head)[1]))

    async def _send_late(self, conn, body, size):
        limits = {When.BEFORE: 0, When.DURING: size // 8, When.AFTER: size}
        body = await read_until(conn, body, limits[self.when])
        await conn.send(self.late)
        # What is sent later meets a late answer that has been read.
        await anyio.sleep(0.05)
        return body


async def read_until(conn, body: bytes, size: int) -> bytes:
    """Return a body extended to at least a size, less if its client closes."""
    while len(body) < size:
        received = await conn.read()
        if not received:
            break
        body += received
    return body


def answers_beside(
    upstream: LateUpstream,
    path: str,
    sizes: list[int],
    *,
    through_peer: bool = False,
) -> list[int]:
    """Return the statuses of uploads over one connection to a gateway."""
    statuses = []

    @in_world
    async def play(world):
        world.configure(body_bytes=HUGE)
        listed = await world.add_upstream(raw(b''))
        address = await start_raw_server(
            world.tasks, upstream.run, BUFFER_BYTES
        )
        world.change_entry(listed, address=address)
        network = Network()
        if through_peer:
            await world.add_gateway()
        state = await world.add_gateway(network)
        if through_peer:
            await wait_until(lambda: bool(state.reach.peers))
            await network.cut(Path.REFUSES)
        async with await dial(state.cfg.listen.callers) as stream:
            for number, size in enumerate(sizes):
                request = request_bytes(path, f'a{number}', b'u' * size)
                await stream.send(request)
                answer = await read_answer(stream)
                statuses.append(answer.status)
                assert answer.complete
                assert answer.status != 200 or answer.body == b'done'

    play()
    return statuses


# Guards against a request whose sending ends, unanswered, as an answer to an
# earlier one is discarded.
@pytest.mark.parametrize('path', ['/once/1', '/any/1'])
@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('when', When)
@pytest.mark.parametrize('size', [EMPTY, SMALL, LARGE, HUGE])
def test_late_answers_leave_requests_alone(size, when, count, path):
    upstream = LateUpstream(LATE['length'] * count, when, answers_first=1)
    sizes = [SMALL, size, SMALL]
    assert answers_beside(upstream, path, sizes) == [200, 200, 200]
    assert upstream.uploads == [b'u' * sent for sent in sizes]


# The same however the end of the late answer is marked, on a new connection,
# and through a peer.
@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('name', LATE)
@pytest.mark.parametrize('size', [SMALL, HUGE])
def test_any_late_answer_leaves_the_request_alone(size, name, through_peer):
    upstream = LateUpstream(LATE[name], When.DURING, answers_first=0)
    statuses = answers_beside(
        upstream, '/once/1', [size], through_peer=through_peer
    )
    assert (statuses, upstream.uploads) == ([200], [b'u' * size])


# Guards against a request without an answer, or one sent twice, where the
# upstream closes behind the late answer.
@pytest.mark.parametrize('when', When)
@pytest.mark.parametrize('size', [SMALL, LARGE, HUGE])
def test_close_behind_late_answer_breaks_call(size, when):
    upstream = LateUpstream(LATE['length'], when, answers_first=1, closes=True)
    assert answers_beside(upstream, '/once/1', [SMALL, size]) == [200, 502]
    assert upstream.uploads == [b'u' * SMALL]
