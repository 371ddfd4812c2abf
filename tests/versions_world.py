"""Let upstreams of several software versions stream, and read what came."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.lowlevel import checkpoint
from contention_world import home_among, is_linked
from gateway_world import SERVICE, ask, dial, request_bytes
from spanfall_standins.gateway.server import encode_response
from spanfall_standins.gateway.upstream import EVENT_STREAM, chunk
from support import wait_until

#: Events of a whole stream.
EVENTS = 6
OLD, NEW = 'v1', 'v2'
#: Events that a caller of the first one lacks.
REST = list(range(2, EVENTS + 1))
#: Seconds after which a home has copied its grants to entries.
COPIED_SECONDS = 0.2
#: Callers that begin a stream at the entry.
CALLERS = 6


@dataclass(slots=True)
class VersionedEvents:
    """Stream events that hold the version of the upstream's software.

    A run goes on after the event that its request names.
    """

    version: str | None
    #: Events after which each run that begins a stream breaks off inside the
    #: next one; None lets all runs end.
    breaks_after: int | None = None
    #: Set to let runs pass their first event.
    goes_on: anyio.Event = field(default_factory=anyio.Event)

    async def run(self, upstream, request, stream):
        first = int(request.headers.get('last-event-id', '0')) + 1
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        last = EVENTS
        if first == 1 and self.breaks_after is not None:
            last = self.breaks_after
        for number in range(first, last + 1):
            await stream.send(chunk(self.event(number)))
            if number == 1:
                await self.goes_on.wait()
        if last < EVENTS:
            await stream.send(chunk(self.event(last + 1)[:-4]))
            return False
        await stream.send(b'0\r\n\r\n')
        return True

    def event(self, number):
        return b'id: %d\ndata: %s\n\n' % (number, str(self.version).encode())


@dataclass(slots=True)
class RefusingFirst(VersionedEvents):
    """Refuse streams that begin, once the copies of their grants are made."""

    refused: int = 0

    async def run(self, upstream, request, stream):
        if 'last-event-id' in request.headers:
            return await VersionedEvents.run(self, upstream, request, stream)
        self.refused += 1
        await anyio.sleep(COPIED_SECONDS)
        headers = {**upstream.response_headers(request), 'not-run': '1'}
        await stream.send(encode_response(503, b'', headers))
        return True


async def add_upstreams(world, version, count=1, breaks_after=None, **fields):
    """Add upstreams of a version whose runs don't wait."""
    events = VersionedEvents(version, breaks_after)
    events.goes_on.set()
    for _ in range(count):
        await world.add_upstream(events.run, software_version=version, **fields)
    return events


def versions_of(body):
    """Return the versions whose events a caller has, in order."""
    lines = body.decode().splitlines()
    found = [line for line in lines if line.startswith('data: ')]
    return list(dict.fromkeys(line.removeprefix('data: ') for line in found))


def ids_of(body):
    """Return the numbers of the events that a caller has."""
    lines = body.decode().splitlines()
    found = [line for line in lines if line.startswith('id: ')]
    return [int(line.removeprefix('id: ')) for line in found]


async def all_listed(world, *states):
    """Wait until gateways list all upstreams."""
    await wait_until(
        lambda: all(
            len(state.directory.serving(SERVICE)) == len(world.upstreams)
            for state in states
        )
    )


@asynccontextmanager
async def first_event_of(state, attempt):
    """Begin a stream; yield its connection once its first event came."""
    stream = await dial(state.cfg.listen.callers)
    async with stream:
        await stream.send(request_bytes('/resume/7', attempt))
        seen = b''
        while b'id: 1\n' not in seen:
            seen += await stream.receive()
        yield ReadAgain(stream, seen)


@dataclass(slots=True)
class ReadAgain:
    """Read a connection from its begin although a part was read before."""

    stream: object
    seen: bytes

    async def receive(self):
        if self.seen:
            seen = self.seen
            self.seen = b''
            return seen
        return await self.stream.receive()


async def take_up(state, first_attempt, last_id, **fields):
    """Take a stream up as a caller does that has events of it."""
    return await ask(
        state,
        '/resume/7',
        resumes=first_attempt,
        last_event_id=str(last_id),
        **fields,
    )


class Fleet:
    """Hold gateways that can be ended, the home among them."""

    def __init__(self, world):
        self.world = world
        self.lives = {}

    async def start(self, size):
        for _ in range(size):
            life = anyio.CancelScope()
            state = await self.world.add_killable_gateway(life)
            self.lives[state.entry_key] = (state, life)
        await wait_until(lambda: self.home() is not None)
        home = self.home()
        await wait_until(
            lambda: all(
                is_linked(state) for state in self.states() if state is not home
            )
        )

    def states(self):
        return [state for state, _ in self.lives.values()]

    def home(self):
        return home_among(self.states())

    def entries(self):
        return [state for state in self.states() if state is not self.home()]

    async def end(self, *ended):
        """End gateways abruptly."""
        for state in ended:
            _, life = self.lives.pop(state.entry_key)
            life.cancel()
        await anyio.sleep(0.01)


async def fleet_of_two_versions(world, size):
    """Start a fleet whose upstreams stop after their first event."""
    begun = VersionedEvents(OLD)
    await world.add_upstream(begun.run)
    fleet = Fleet(world)
    await fleet.start(size)
    await all_listed(world, *fleet.states())
    return fleet


async def begin_streams(state, prefix='a'):
    """Let callers have the first event of a stream each, and lose the rest."""
    attempts = [f'{prefix}{number}' for number in range(CALLERS)]
    for attempt in attempts:
        async with first_event_of(state, attempt):
            await checkpoint()
    return attempts


async def serve_both(world, *states):
    """Let upstreams of both versions serve whole streams, most of them new."""
    for upstream in world.upstreams.values():
        upstream.behaviour.__self__.goes_on.set()
    await add_upstreams(world, NEW, count=5)
    await all_listed(world, *states)


async def check_taken_up(state, attempts):
    answers = [
        await take_up(state, attempt, 1, attempt=f'{attempt}-second')
        for attempt in attempts
    ]
    assert {answer.status for answer in answers} == {200}
    assert all(ids_of(answer.body) == REST for answer in answers)
    assert all(versions_of(answer.body) == [OLD] for answer in answers)
