"""A caller never learns more of an end than the upstream's framing proves."""

from dataclasses import dataclass
from enum import Enum

import anyio
import pytest
from gateway_world import ask, dial, in_world, read_answer, request_bytes
from spanfall_standins.gateway.network import Network, Path
from spanfall_standins.gateway.upstream import chunk, raw, resumable
from support import wait_until

EVENTS = b''.join(b'id: %d\ndata: abc\n\n' % number for number in (1, 2, 3))
HEAD = b'HTTP/1.1 200 X\r\nattempt: {id}\r\nsigned: s\r\n'
EVENT_HEAD = HEAD + b'content-type: text/event-stream\r\n'
#: Requests in progress at the same time.
CONCURRENCY = 16


class Framing(Enum):
    """Name how an upstream delimits its response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


@dataclass(frozen=True)
class Course:
    """Hold where and how an upstream stops sending a response."""

    framing: Framing
    cut: int
    resets: bool
    head: bytes = EVENT_HEAD
    content: bytes = EVENTS

    def encoded(self):
        if self.framing is Framing.LENGTH:
            size = b'content-length: %d\r\n\r\n' % len(self.content)
            return self.head + size + self.content
        if self.framing is Framing.CHUNKS:
            head = self.head + b'transfer-encoding: chunked\r\n\r\n'
            return head + chunk(self.content) + b'0\r\n\r\n'
        return self.head + b'\r\n' + self.content

    def behaviour(self):
        return raw(self.encoded()[: self.cut], resets=self.resets)

    @property
    def is_proven(self):
        """Return whether the bytes before the cut prove a complete response."""
        is_delimited = self.framing is not Framing.CONNECTION
        return is_delimited and self.cut == len(self.encoded())

    @property
    def may_be_complete(self):
        """Return whether what was sent may be a complete response."""
        if self.is_proven:
            return True
        if self.framing is not Framing.CONNECTION or self.resets:
            return False
        sent = self.encoded()[: self.cut].partition(b'\r\n\r\n')[2]
        return self.head is HEAD or (sent and sent.endswith(b'\n\n'))


def check(course, answer):
    """Compare what a caller may believe with what the upstream sent."""
    if answer.status != 200:
        assert answer.status == 502
        assert not course.is_proven
        return
    assert answer.is_proven <= course.is_proven
    if not course.may_be_complete:
        assert not answer.complete
    if course.framing is not Framing.CONNECTION or not course.resets:
        assert answer.complete == bool(course.may_be_complete)
    assert course.encoded().find(answer.body) >= 0
    if course.head is EVENT_HEAD and not course.is_proven:
        assert not answer.body or answer.body.endswith(b'\n\n')


def courses(head, content, framing, resets):
    whole = Course(framing, 0, resets, head, content).encoded()
    first = whole.index(b'\r\n\r\n') + 4
    return [
        Course(framing, cut, resets, head, content)
        for cut in range(first, len(whole) + 1)
        if not resets or cut < len(whole)
    ]


def run_courses(prefix, drawn):
    """Play courses at one gateway and check each response."""

    @in_world
    async def run(world):
        await play(world, prefix, drawn)

    run()


async def play(world, prefix, drawn):
    upstream = await world.add_upstream(raw(b''))
    state = await world.add_gateway()
    by_target = {}

    async def respond(this, request, stream):
        behaviour = by_target[request.target].behaviour()
        return await behaviour(this, request, stream)

    upstream.behaviour = respond
    limiter = anyio.CapacityLimiter(CONCURRENCY)

    async def ask_and_check(target, course):
        async with limiter:
            check(course, await ask(state, target, attempt=target[-9:]))

    async with anyio.create_task_group() as tasks:
        for number, course in enumerate(drawn):
            target = f'{prefix}{number:09}'
            by_target[target] = course
            tasks.start_soon(ask_and_check, target, course)


# Guards against a stream that ends inside an event and is called complete.
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('framing', Framing)
def test_a_stream_cut_at_any_byte(framing, resets):
    drawn = courses(EVENT_HEAD, EVENTS, framing, resets)
    run_courses('/stream/', drawn)


# Guards against a buffered body of unknown length that is called complete.
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('framing', Framing)
def test_a_body_cut_at_any_byte(framing, resets):
    drawn = courses(HEAD, b'{"sheet":7}', framing, resets)
    run_courses('/once/', drawn)


UNFRAMED = EVENT_HEAD + b'\r\n'


# Guards against an unproven end that is passed on as a last chunk.
@in_world
async def test_unframed_stream_stays_unframed(world):
    await world.add_upstream(raw(UNFRAMED, EVENTS))
    state = await world.add_gateway()
    answer = await ask(state, '/stream/7')
    assert (answer.complete, answer.is_proven) == (True, False)
    assert answer.body == EVENTS


# Guards against a retry or a suspicion for each response without a length.
@in_world
async def test_unframed_responses_are_no_failures(world):
    upstream = await world.add_upstream(raw(UNFRAMED, EVENTS))
    state = await world.add_gateway()
    answers = [
        await ask(state, f'/resume/{number}', attempt=f'a{number}')
        for number in range(9)
    ]
    assert all(answer.body == EVENTS for answer in answers)
    assert len(upstream.received_requests) == len(answers)
    assert not state.crashes.has_suspected_crashes.is_set()


# Guards against a resumable stream that is not resumed after such an end.
@in_world
async def test_unframed_stream_cut_in_event_is_resumed(world):
    cut = EVENTS[:-5]

    async def respond(this, request, stream):
        behaviour = resumable(3, breaks_after=3)
        if 'last-event-id' not in request.headers:
            behaviour = raw(UNFRAMED, cut)
        return await behaviour(this, request, stream)

    for _ in '12':
        await world.add_upstream(respond)
    state = await world.add_gateway()
    answer = await ask(state, '/resume/7')
    assert answer.complete
    assert answer.body == cut[: cut.rindex(b'id:')] + b'id: 3\ndata: x\n\n'


# Guards against an upstream whose process ends between two events.
@in_world
async def test_unframed_stream_of_an_ended_upstream(world):
    upstream = await world.add_upstream(raw(b''))

    async def respond(this, request, stream):
        await stream.send(UNFRAMED.replace(b'{id}', b'a1') + EVENTS)
        this.process_scope.cancel()
        return False

    upstream.behaviour = respond
    state = await world.add_gateway()
    answer = await ask(state, '/stream/7')
    assert (answer.complete, answer.body) == (False, EVENTS)


# Guards against the end of this process that looks like the end of a response.
@in_world
async def test_killed_gateway_resets_unframed_response(world):
    async def respond(this, request, stream):
        await stream.send(UNFRAMED.replace(b'{id}', b'a1') + EVENTS)
        await anyio.sleep_forever()

    await world.add_upstream(respond)
    life = anyio.CancelScope()
    state = await world.add_killable_gateway(life)
    async with await dial(state.cfg.listen.callers) as stream:
        await stream.send(request_bytes('/stream/7'))
        with anyio.move_on_after(0.5):
            await anyio.sleep(0.4)
        life.cancel()
        answer = await read_answer(stream)
    assert (answer.complete, answer.body) == (False, EVENTS)


# Guards against an HTTP/1.0 caller that takes a cut stream for a whole one.
@in_world
async def test_cut_stream_is_reset_for_http_1_0(world):
    cut = len(Course(Framing.CHUNKS, 0, resets=False).encoded()) - 9
    course = Course(Framing.CHUNKS, cut, resets=False)
    await world.add_upstream(course.behaviour())
    state = await world.add_gateway()
    async with await dial(state.cfg.listen.callers) as stream:
        old = request_bytes('/stream/7').replace(b'HTTP/1.1', b'HTTP/1.0')
        await stream.send(old)
        answer = await read_answer(stream)
    assert not answer.complete


# Guards against a last chunk behind a resumed stream that has no proof.
@in_world
async def test_no_last_chunk_for_unframed_rest(world):
    async def respond(this, request, stream):
        behaviour = raw(UNFRAMED, b'id: 3\ndata: x\n\n')
        if 'last-event-id' not in request.headers:
            behaviour = resumable(4, breaks_after=2)
        return await behaviour(this, request, stream)

    for _ in '12':
        await world.add_upstream(respond)
    state = await world.add_gateway()
    answer = await ask(state, '/resume/7')
    assert (answer.complete, answer.body.count(b'id:')) == (False, 3)


# Guards against a finished stream that is cut since its upstream exits.
@in_world
async def test_final_event_proves_the_end(world):
    whole = EVENTS + b'data: [DONE]\n\n'

    async def respond(this, request, stream):
        await stream.send(UNFRAMED.replace(b'{id}', b'a1') + whole)
        this.process_scope.cancel()
        return False

    await world.add_upstream(respond)
    state = await world.add_gateway()
    answer = await ask(state, '/stream/7')
    assert (answer.complete, answer.body) == (True, whole)


# Guards against the end of a peer that looks like the end of a response.
@in_world
async def test_killed_peer_is_no_end(world):
    async def respond(this, request, stream):
        await stream.send(UNFRAMED.replace(b'{id}', b'a1') + EVENTS)
        await anyio.sleep_forever()

    await world.add_upstream(respond)
    life = anyio.CancelScope()
    await world.add_killable_gateway(life)
    network = Network()
    state = await world.add_gateway(network)
    await wait_until(lambda: bool(state.reach.peers))
    await network.cut(Path.REFUSES)
    async with await dial(state.cfg.listen.callers) as stream:
        await stream.send(request_bytes('/stream/7'))
        await anyio.sleep(0.4)
        life.cancel()
        answer = await read_answer(stream)
    assert (answer.complete, answer.body) == (False, EVENTS)
