"""Play drawn courses of breaks, kills and starts on processes of their own.

Upstreams write their software version into each event; callers take streams up
at other entries; one checker judges what each caller has put together. CI plays
one seed; play others by hand:

    VERSION_SEEDS=1:20 .venv/bin/pytest tests/test_gateway_version_courses.py
"""

import json
import logging
import os
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import anyio
import pytest
from gateway_world import (
    World,
    dial,
    in_world,
    read_answer,
    request_bytes,
    route,
)
from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_node.gateway.tables.tenure import home_key
from spanfall_standins.gateway.server import encode_response
from spanfall_standins.gateway.upstream import EVENT_STREAM, chunk
from test_gateway_contention_suspended import process_of, wait_ready
from versions_world import ids_of, versions_of

logger = logging.getLogger(__name__)

SEEDS = range(*map(int, os.environ.get('VERSION_SEEDS', '0:1').split(':')))
GATEWAYS = 5
UPSTREAMS = 6
VERSIONS = ('v1', 'v2', 'v3')
#: Events of a whole stream, and seconds between two.
EVENTS = 12
EVENT_SECONDS = 0.06
#: Seconds for which callers begin streams, and streams a second.
SECONDS = 16.0
RATE = 25
#: Attempts of a caller, and seconds that it has for all of them.
ATTEMPTS = 3
PATIENCE_SECONDS = 8.0
PAUSES = (0.3, 1.2)
#: Least share of streams taken up that go on, relative to that of new ones.
LEAST_SHARE = 0.5
LEAST_TAKEN_UP = 12


@dataclass(slots=True)
class Stream:
    """Hold what one caller has put together over its attempts."""

    body: bytes = b''
    #: Attempt that brought the first event.
    first_attempt: str = ''
    #: Whether each attempt that resumed the stream brought events.
    resumed: list[bool] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    is_complete: bool = False


def faults_of(stream):
    """Yield what is wrong with the events that a caller has."""
    ids = ids_of(stream.body)
    if ids != list(range(1, len(ids) + 1)):
        yield f'events {ids}'
    if len(versions_of(stream.body)) > 1:
        yield f'versions {versions_of(stream.body)}'
    if stream.is_complete and len(ids) != EVENTS:
        yield f'complete after {len(ids)} events'


@dataclass(slots=True)
class Course:
    """Hold a fleet of processes and what its callers saw."""

    world: World
    seed: int
    folder: object
    tasks: object
    processes: dict[str, object] = field(default_factory=dict)
    settings: dict[str, object] = field(default_factory=dict)
    streams: list[Stream] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    rng: Random = field(init=False)

    def __post_init__(self):
        self.rng = Random(f'{self.seed}/course')

    async def start(self):
        for number in range(UPSTREAMS):
            await self.add_upstream(VERSIONS[number % len(VERSIONS)])
        async with anyio.create_task_group() as tasks:
            for _ in range(GATEWAYS):
                tasks.start_soon(self.add_gateway)

    async def add_gateway(self):
        cfg = await self.world.new_settings()
        self.settings[cfg.node] = cfg
        await self.run_gateway(cfg.node)

    async def run_gateway(self, node):
        """Run a gateway as a process until the course or its fault ends it."""
        cfg = self.settings[node]
        folder = self.folder / node
        folder.mkdir(exist_ok=True)
        started = anyio.Event()

        async def run():
            with process_of(cfg, folder) as process:
                self.processes[node] = process
                started.set()
                while process.poll() is None:
                    await anyio.sleep(0.05)

        self.tasks.start_soon(run)
        await started.wait()
        await wait_ready(cfg)

    async def add_upstream(self, version, upstream_id=''):
        rng = Random(f'{self.seed}/{len(self.world.entries)}')

        async def stream_events(upstream, request, stream):
            first = int(request.headers.get('last-event-id', '0')) + 1
            headers = {**upstream.response_headers(request), **EVENT_STREAM}
            head = encode_response(200, b'', headers)
            await stream.send(head.replace(b'content-length: 0\r\n', b''))
            last = EVENTS
            if rng.random() < 0.2:
                last = rng.randrange(EVENTS)
            for number in range(first, last + 1):
                await anyio.sleep(EVENT_SECONDS)
                event = b'id: %d\ndata: %s\n\n' % (number, version.encode())
                await stream.send(chunk(event))
            if last < EVENTS:
                await stream.send(chunk(b'id: %d\nda' % (last + 1)))
                return False
            await stream.send(b'0\r\n\r\n')
            return True

        return await self.world.add_upstream(
            stream_events,
            upstream_id=upstream_id,
            software_version=version,
            born=round(time.time() * 1000),
        )

    def home(self):
        item = self.world.store.items.get(home_key(0))
        node = json.loads(item.content)['node'] if item else None
        return node if node in self.running() else None

    def running(self):
        rows = self.processes.items()
        return [node for node, row in rows if row.poll() is None]

    async def attempt(self, node, stream, attempt):
        fields = {'left_ms': str(round(PATIENCE_SECONDS * 1000))}
        if stream.first_attempt:
            fields['resumes'] = stream.first_attempt
            fields['last_event_id'] = str(len(ids_of(stream.body)))
        address = self.settings[node].listen.callers
        try:
            connection = await dial(address)
            async with connection:
                await connection.send(
                    request_bytes('/resume/7', attempt, **fields)
                )
                answer = await read_answer(connection)
        except (OSError, anyio.BrokenResourceError):
            stream.statuses.append(0)
            return
        stream.statuses.append(answer.status)
        if answer.status != 200:
            return
        whole = answer.body[: answer.body.rfind(b'\n\n') + 2]
        stream.body += whole
        stream.is_complete = answer.complete
        if whole and not stream.first_attempt:
            stream.first_attempt = attempt

    async def call(self, number):
        """Begin a stream, and take it up as long as it is not whole."""
        rng = Random(f'{self.seed}/caller/{number}')
        stream = Stream()
        self.streams.append(stream)
        with anyio.move_on_after(PATIENCE_SECONDS):
            for turn in range(ATTEMPTS):
                before, is_resumed = stream.body, bool(stream.first_attempt)
                node = rng.choice(self.running() or list(self.settings))
                await self.attempt(node, stream, f'{number}-{turn}')
                if is_resumed and stream.statuses[-1]:
                    stream.resumed.append(
                        stream.body != before or stream.is_complete
                    )
                if stream.is_complete:
                    return
                await anyio.sleep(0.01)

    async def load(self):
        number = 0
        until = anyio.current_time() + SECONDS
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                tasks.start_soon(self.call, number)
                number += 1
                await anyio.sleep(self.rng.expovariate(RATE))

    async def break_things(self):
        rng = Random(f'{self.seed}/faults')
        kinds = (
            self.kill_entry,
            self.kill_home,
            self.kill_both,
            self.crash_upstream,
            self.start_again,
            self.change_version,
            self.suspend,
            self.lapse,
        )
        order = rng.sample(kinds, len(kinds))
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(rng.uniform(*PAUSES))
                kind = order.pop() if order else rng.choice(kinds)
                self.faults[kind.__name__] += 1
                tasks.start_soon(kind, rng)

    async def _kill(self, nodes):
        if len(self.running()) - len(nodes) < 2:
            return
        for node in nodes:
            self.processes[node].kill()
        await anyio.sleep(0.5)
        for node in nodes:
            await self.run_gateway(node)

    async def kill_entry(self, rng):
        entries = [row for row in self.running() if row != self.home()]
        await self._kill(rng.sample(entries, 1))

    async def kill_home(self, rng):
        home = self.home()
        await self._kill([home] if home else [])

    async def kill_both(self, rng):
        entries = [row for row in self.running() if row != self.home()]
        home = self.home()
        homes = [home] if home else []
        await self._kill([*rng.sample(entries, 1), *homes])

    async def suspend(self, rng):
        process = self.processes[rng.choice(self.running())]
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(0.2, 1.0))
        process.send_signal(signal.SIGCONT)

    def _draw_upstream(self, rng):
        return rng.choice(list(self.world.upstreams.values()))

    async def crash_upstream(self, rng):
        """End an upstream; one of any version takes its place."""
        chosen = self._draw_upstream(rng)
        self.world.upstreams.pop(chosen.lifetime)
        chosen.process_scope.cancel()
        await self.add_upstream(rng.choice(VERSIONS))
        await anyio.sleep(0.5)
        self.world.remove_entry(chosen)

    async def start_again(self, rng):
        """End an upstream; it starts under its id with any version."""
        chosen = self._draw_upstream(rng)
        self.world.upstreams.pop(chosen.lifetime)
        chosen.process_scope.cancel()
        await anyio.sleep(rng.uniform(0, 0.5))
        await self.add_upstream(rng.choice(VERSIONS), chosen.lifetime)

    async def change_version(self, rng):
        """Let an upstream leave for one of another version."""
        chosen = self._draw_upstream(rng)
        self.world.upstreams.pop(chosen.lifetime)
        await self.add_upstream(rng.choice(VERSIONS))
        self.world.change_entry(chosen, leaving=True)
        await anyio.sleep(2)
        self.world.remove_entry(chosen)
        chosen.process_scope.cancel()

    async def lapse(self, rng):
        """Let the entry of an upstream that runs be away for a moment."""
        chosen = self._draw_upstream(rng)
        self.world.remove_entry(chosen)
        await anyio.sleep(0.3)
        if chosen.lifetime in self.world.upstreams:
            self.world.change_entry(chosen)

    def judge(self):
        return [
            f'{stream.first_attempt}: {fault}'
            for stream in self.streams
            for fault in faults_of(stream)
        ]

    def shares(self):
        """Return the streams taken up, and the shares that began and went on."""
        resumed = [went_on for row in self.streams for went_on in row.resumed]
        first = [row.statuses[0] for row in self.streams if row.statuses]
        began = first.count(200) / len(first)
        return len(resumed), began, sum(resumed) / max(1, len(resumed))


@pytest.mark.parametrize('seed', SEEDS)
def test_a_drawn_course_mixes_no_versions(seed, tmp_path):
    @in_world
    async def play(world):
        world.configure(
            routes=[route('/resume/', RouteKind.STREAM, resumable=True, most=2)]
        )
        async with anyio.create_task_group() as tasks:
            course = Course(world, seed, tmp_path, tasks)
            await course.start()
            async with anyio.create_task_group() as breaking:
                breaking.start_soon(course.break_things)
                await course.load()
                breaking.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
        taken_up, began, went_on = course.shares()
        logger.info(
            'Seed %s: %s streams, %.3f began; %s taken up, %.3f went on; %s',
            seed,
            len(course.streams),
            began,
            taken_up,
            went_on,
            course.faults,
        )
        assert not course.judge()
        assert taken_up >= LEAST_TAKEN_UP
        assert went_on >= LEAST_SHARE * began

    play()


@pytest.mark.parametrize(
    ('body', 'is_complete', 'told'),
    [
        (b'id: 1\ndata: v1\n\nid: 2\ndata: v2\n\n', False, 'versions'),
        (b'id: 1\ndata: v1\n\nid: 3\ndata: v1\n\n', False, 'events'),
        (b'id: 1\ndata: v1\n\n', True, 'complete after 1'),
    ],
)
def test_the_checker_sees(body, is_complete, told):
    found = faults_of(Stream(body, is_complete=is_complete))
    assert any(row.startswith(told) for row in found)
