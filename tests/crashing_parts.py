"""Send requests with a part that crashes upstreams, and judge the outcome.

Gateways run as processes of their own. Upstreams come back under a new id some
time after they crashed, and the checker counts what reached them.
"""

import signal
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

import anyio
from gateway_world import dial, read_answer, request_bytes
from spanfall_standins.gateway.server import AfterExit
from spanfall_standins.gateway.upstream import crashes_if, events
from support import wait_until
from test_gateway_contention_suspended import process_of, wait_ready

#: Part of the prompts that crash upstreams, and the first part of all prompts.
DEADLY = 'bad1'
COMMON = 'c0ffee'
#: Seconds after the fifth crash from which on sends with the part count, and
#: how many of them are allowed.
CONTACT_SECONDS = 3.0
COUNTED_AFTER_CRASHES = 5
ALLOWED_SENDS = 3
#: Fraction of the usual share in which sound requests begin at the first
#: attempt, from twice the contact time after the fifth crash on.
SOUND_FRACTION = 0.5
#: Least number of sound requests before and afterwards for which that holds.
LEAST_SOUND = 20
#: Seconds from the arrival of a request to the crash, and until the upstream is
#: back under another id.
CRASH_SECONDS = 0.05
BACK_SECONDS = 1.6
#: Seconds after which a caller stops waiting.
PATIENCE = 5.0


def has_part(part, request):
    """Return whether a prompt holds a part anywhere but at its end."""
    entries = request.headers.get('parts', '').split(',')[:-1]
    return any(entry.partition(':')[0] == part for entry in entries)


@dataclass(slots=True)
class Sound:
    """Hold when a sound request was sent and whether it began at once."""

    at: float
    began: bool


@dataclass(slots=True)
class Fleet:
    """Hold processes, upstreams, and what was seen of both."""

    world: object
    rng: Random
    folder: object
    deadly: tuple[str, ...] = (DEADLY,)
    settings: list = field(default_factory=list)
    processes: dict = field(default_factory=dict)
    stack: ExitStack = field(default_factory=ExitStack)
    crashed_at: list[float] = field(default_factory=list)
    #: Arrivals of requests with the part, at any upstream.
    arrivals: list[float] = field(default_factory=list)
    sound: list[Sound] = field(default_factory=list)
    numbers: count = field(default_factory=count)
    after_end: tuple[AfterExit, ...] = (AfterExit.REFUSES,)

    async def start(self, gateways, upstreams):
        """Start gateways as processes, and upstreams."""
        for _ in range(upstreams):
            await self.add_upstream()
        for _ in range(gateways):
            cfg = await self.world.new_settings()
            self.settings.append(cfg)
            self.start_process(cfg)
        for cfg in self.settings:
            await wait_ready(cfg)
        await wait_until(lambda: self.home() is not None)

    def start_process(self, cfg):
        """Start the process of a gateway, again if it has ended."""
        folder = self.folder / cfg.node
        folder.mkdir(exist_ok=True)
        self.processes[cfg.node] = self.stack.enter_context(
            process_of(cfg, folder)
        )

    def home(self):
        """Return the settings of the home by its record in the store."""
        records = [
            item
            for key, item in self.world.store.items.items()
            if 'home' in key
        ]
        text = ''.join(map(str, records))
        homes = [cfg for cfg in self.settings if cfg.node in text]
        return homes[0] if len(homes) == 1 else None

    async def add_upstream(self):
        """Start an upstream that is replaced when it has crashed."""
        behaviour = crashes_if(
            self._is_deadly, events(1, 6, pause=0.05), CRASH_SECONDS
        )
        after_end = self.rng.choice(self.after_end)
        upstream = await self.world.add_upstream(
            behaviour, after_end, software_version='v1'
        )
        self.world.tasks.start_soon(self._replace, upstream)

    def _is_deadly(self, request):
        found = any(has_part(part, request) for part in self.deadly)
        if found:
            self.arrivals.append(anyio.current_time())
        return found

    async def _replace(self, upstream):
        await wait_until(lambda: upstream.process_scope.cancel_called)
        self.crashed_at.append(anyio.current_time())
        await anyio.sleep(BACK_SECONDS)
        await self.add_upstream()
        await anyio.sleep(2 * BACK_SECONDS)
        self.world.remove_entry(upstream)

    async def kill(self, cfg, away):
        """Kill a gateway and start it again after some seconds."""
        self.processes[cfg.node].send_signal(signal.SIGKILL)
        await anyio.sleep(away)
        self.start_process(cfg)
        await wait_ready(cfg)

    async def send(self, *middle, is_sound=False, path='/resume/1'):
        """Send a request with the common part, others, and one of its own."""
        number = next(self.numbers)
        cfg = self.rng.choice(self.settings)
        parts = ','.join(f'{name}:100' for name in (COMMON, *middle))
        sent_at = anyio.current_time()
        answer = None
        with anyio.move_on_after(PATIENCE):
            answer = await self._ask(cfg, path, number, parts)
        if is_sound:
            began = answer is not None and answer.status == 200
            self.sound.append(Sound(sent_at, began))
        return answer

    async def _ask(self, cfg, path, number, parts):
        try:
            stream = await dial(cfg.listen.callers)
        except OSError:
            return None
        async with stream:
            await stream.send(
                request_bytes(
                    path,
                    attempt=f'a{number}',
                    body=b'body %d' % number,
                    parts=f'{parts},own{number}:50',
                    tokens='250,30',
                )
            )
            return await read_answer(stream)

    async def send_often(self, rate, seconds, send):
        """Send requests at a rate, without waiting for their answers."""
        until = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                tasks.start_soon(send)
                await anyio.sleep(self.rng.expovariate(rate))

    def fifth_crash(self):
        """Return when the fifth upstream crashed; the last if there are fewer."""
        return self.crashed_at[:COUNTED_AFTER_CRASHES][-1]

    def late_sends(self):
        """Return how many requests with the part arrived too late."""
        if len(self.crashed_at) < COUNTED_AFTER_CRASHES:
            return 0
        since = self.fifth_crash() + CONTACT_SECONDS
        return sum(at > since for at in self.arrivals)

    def sound_shares(self, began_at):
        """Return which share of sound requests began, before and in the end.

        Both are 1 if there were too few.
        """
        late = self.fifth_crash() + 2 * CONTACT_SECONDS
        before = [row.began for row in self.sound if row.at < began_at]
        after = [row.began for row in self.sound if row.at > late]
        if min(len(before), len(after)) < LEAST_SOUND:
            return 1, 1
        return sum(before) / len(before), sum(after) / len(after)


async def play_course(fleet, faults=(), before=2.0, seconds=10.0, rate=5.0):
    """Send sound requests, and after some seconds also those that crash."""
    sound = partial(fleet.send, is_sound=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.send_often, 15, before + seconds, sound)
        await anyio.sleep(before)
        began_at = anyio.current_time()
        for fault in faults:
            tasks.start_soon(fault)
        tasks.start_soon(
            fleet.send_often, rate, seconds, partial(fleet.send, *fleet.deadly)
        )
    return began_at


def judge(fleet, began_at):
    """Return which bounds a course broke."""
    broken = []
    late = fleet.late_sends()
    if late > ALLOWED_SENDS:
        broken.append(f'{late} sends later than 3 s after the fifth crash')
    usual, share = fleet.sound_shares(began_at)
    if share < SOUND_FRACTION * usual:
        broken.append(
            f'{share:.2f} of sound requests began, {usual:.2f} before'
        )
    return broken
