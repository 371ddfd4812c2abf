"""Test upstreams that send bytes without end, in heads and bodies.

Each costs one request a little: it is closed after a bounded number of bytes,
holds bounded memory, leaves the event loop to others, and is avoided.
"""

import logging
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import anyio
import pytest
from gateway_world import ask, dial, in_world, request_bytes
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

#: Seconds within which a request to such an upstream is answered; its caller
#: would wait five seconds.
ANSWER_SECONDS = 3.0
#: Requests at once.
MANY = 60
#: Growth of the process by these, in bytes: the node may hold a quarter of
#: 200 MB, and the kernel and the event loop hold some more for each connection.
MAX_GROWTH = 130_000_000
#: Longest time for which the event loop may be late, in seconds.
MAX_LATE_SECONDS = 0.1
#: Bytes that a stand-in sends at once.
PIECE = 32_768
PAGE_BYTES = 4096

CHUNKED = (
    b'HTTP/1.1 200 OK\r\nattempt: %s\r\nsigned: u\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nattempt: %s\r\nsigned: u\r\n\r\n'
EVENTS = CHUNKED.replace(
    b'signed', b'content-type: text/event-stream\r\nsigned'
)
OTHER = b'HTTP/1.1 200 OK\r\nattempt: other\r\ncontent-length: 2\r\n\r\nno'


def pieces_of(unit):
    """Return about a piece of some repeated bytes."""
    return unit * max(1, PIECE // len(unit))


def chunk(size):
    return b'%x\r\n%s\r\n' % (size, b'x' * size)


#: What is sent first, and what then without end.
ENDLESS = {
    'noise': (b'', b'\x00\xff' * 100),
    'header-lines': (b'HTTP/1.1 200 OK\r\n', b'x-more: 1\r\n'),
    'one-header': (b'HTTP/1.1 200 OK\r\nx-long: ', b'x' * 100),
    'interim': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'continue': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'others': (b'', OTHER),
    'other-unframed': (
        b'HTTP/1.1 200 OK\r\nattempt: other\r\n\r\n',
        b'x' * 100,
    ),
    'chunk-size': (CHUNKED, b'0'),
    'chunks': (CHUNKED, chunk(4096)),
    'tiny-chunks': (CHUNKED, chunk(1)),
    'trailers': (CHUNKED + b'0\r\n', b'x-more: 1\r\n'),
    'unframed': (UNFRAMED, b'x' * 100),
    'no-event': (EVENTS, chunk(4096)),
    'tiny-parts': (EVENTS, chunk(1)),
}


def endless(name):
    """Return a behaviour that never stops sending, until it is closed."""
    first, unit = ENDLESS[name]
    piece = pieces_of(unit)

    async def run(upstream, request, stream):
        attempt = request.headers.get('attempt', '').encode()
        await stream.send(first.replace(b'%s', attempt) + piece)
        while True:
            await stream.send(piece)

    return run


class LoopWatch:
    """Measure how late the event loop runs."""

    def __init__(self):
        self.latest = 0.0

    async def run(self):
        while True:
            began_at = anyio.current_time()
            await anyio.sleep(0.01)
            late = anyio.current_time() - began_at - 0.01
            self.latest = max(self.latest, late)


def resident_bytes():
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES


async def ask_many(state, path, count):
    """Send requests at once; discard what comes until each connection ends."""

    async def run(number):
        head = request_bytes(
            f'{path}{number}', attempt=f'a{number}', connection='close'
        )
        async with await dial(state.cfg.listen.callers) as stream:
            await stream.send(head)
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(run, number)


# Guards against a request that waits for its deadline while bytes arrive.
@pytest.mark.parametrize('name', ENDLESS)
def test_endless_bytes_cost_one_request_a_little(name, caplog):
    @in_world
    async def play(world):
        await world.add_upstream(endless(name))
        state = await world.add_gateway()
        caplog.set_level(logging.INFO)
        caplog.clear()
        with anyio.fail_after(ANSWER_SECONDS):
            answer = await ask(state, '/once/1')
        assert answer.status == 502 or not answer.complete
        assert len(caplog.records) < 20

    play()


# Guards against an upstream that is chosen again and again beside sound ones.
@pytest.mark.parametrize('name', ['interim', 'others', 'unframed', 'no-event'])
def test_sound_upstreams_beside_an_endless_one(name):
    @in_world
    async def play(world):
        for behaviour in (
            endless(name),
            complete_response(),
            complete_response(),
        ):
            await world.add_upstream(behaviour)
        state = await world.add_gateway(retry_allowance=100)
        statuses = [
            (await ask(state, f'/any/{number}', attempt=f'a{number}')).status
            for number in range(40)
        ]
        assert statuses == list(repeat(200, 40))
        first = next(iter(world.upstreams.values()))
        assert len(first.received_requests) < 10

    play()


# Guards against memory that grows with the number of such responses, and
# against an event loop that serves nobody else.
@pytest.mark.parametrize('name', ['chunks', 'unframed', 'no-event', 'interim'])
def test_many_endless_responses_at_once(name):
    @in_world
    async def play(world):
        await world.add_upstream(endless(name), slots=MANY)
        state = await world.add_gateway()
        peaks = []

        async def sample():
            while True:
                peaks.append((resident_bytes(), state.memory.held))
                await anyio.sleep(0.02)

        before = resident_bytes()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            await ask_many(state, '/once/', MANY)
            tasks.cancel_scope.cancel()
        assert max(resident for resident, _ in peaks) - before < MAX_GROWTH
        assert max(held for _, held in peaks) <= state.memory.capacity
        await wait_until(lambda: not state.memory.held)

    play()


# Guards against a loop over parts that have arrived already, in which nobody
# else gets a turn.
@pytest.mark.parametrize('name', ['tiny-chunks', 'tiny-parts', 'others'])
def test_event_loop_stays_free(name):
    @in_world
    async def play(world):
        await world.add_upstream(endless(name))
        state = await world.add_gateway()
        watch = LoopWatch()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await ask(state, '/short/1')
            tasks.cancel_scope.cancel()
        assert watch.latest < MAX_LATE_SECONDS

    play()


# The same for the body of a request.
@in_world
async def test_event_loop_stays_free_of_callers(world):
    state = await world.add_gateway()
    watch = LoopWatch()
    head = request_bytes('/once/1', transfer_encoding='chunked').replace(
        b'GET', b'POST'
    )
    async with await dial(state.cfg.listen.callers) as stream:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await stream.send(head + 20 * pieces_of(chunk(1)))
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
    assert watch.latest < MAX_LATE_SECONDS
