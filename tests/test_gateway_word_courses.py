"""Play drawn courses of what upstreams say against a whole fleet.

Limits are named, changed, taken back and named again, one upstream leaves, the
home ends, an entry starts; what arrives is checked from outside. CI plays one
seed; more by hand:

    SPANFALL_SEEDS=20 .venv/bin/pytest tests/test_gateway_word_courses.py
"""

import os
from functools import partial
from random import Random

import anyio
import pytest
from arrivals import arrived_after, note_arrivals
from gateway_world import ask, in_world
from named_limit_checker import LIMIT_KNOWN_AFTER, WINDOW_SECONDS, allowed
from spanfall_standins.gateway.upstream import whole
from support import wait_until
from test_gateway_succession import is_home

SEEDS = int(os.environ.get('SPANFALL_SEEDS', '1'))
SECONDS = 12.0
PAUSE = 0.06
ENTRIES = 3
UPSTREAMS = 3
#: Seconds after which a limit binds that was first named.
CONTACT = 3.0
#: Seconds after it said so in which one that leaves may get requests of an
#: entry that passed that on.
DRAIN = 2.0
RATES = (0, 0.5, 1, 3, 10)


def is_over(until):
    return anyio.current_time() >= until


class Watched:
    """Hold one upstream, what it said when, and what reached it."""

    def __init__(self, upstream):
        self.upstream = upstream
        #: Time and rate of each word; no rate: none is named.
        self.named = [(anyio.current_time(), None)]
        self.arrivals = note_arrivals(upstream)
        #: When each entry first passed on each word.
        self.limits_passed_on = {}
        self.leaving_passed_on = {}

    def name(self, rate):
        self.named.append((anyio.current_time(), rate))
        self.upstream.says.pop('takes-a-second', None)
        if rate is not None:
            self.upstream.says['takes-a-second'] = str(rate)

    def passes_limit(self, end):
        """Tell whether the span that ends at a time holds too much."""
        begin = end - WINDOW_SECONDS - LIMIT_KNOWN_AFTER
        later = [*(at for at, _ in self.named[1:]), float('inf')]
        in_force = [
            rate
            for (_, rate), until in zip(self.named, later, strict=True)
            if until > begin
        ]
        since = min(
            (at for at, rate in self.named if rate is not None),
            default=float('inf'),
        )
        if None in in_force or end < since + CONTACT:
            return False
        told = arrived_after(
            self.arrivals, self.limits_passed_on, LIMIT_KNOWN_AFTER
        )
        count = sum(end - WINDOW_SECONDS < one.at <= end for one in told)
        return count > allowed(max(in_force))

    def late(self):
        """Return what came from entries that had passed on that it leaves."""
        return arrived_after(self.arrivals, self.leaving_passed_on, DRAIN)


class Course:
    """Hold a fleet, its upstreams and what callers got."""

    def __init__(self, world, luck):
        self.world = world
        self.luck = luck
        self.gateways = []
        self.watched = {}
        self.statuses = []
        self.number = 0
        self.life = anyio.CancelScope()

    async def start(self):
        for _ in range(UPSTREAMS):
            upstream = await self.world.add_upstream(whole())
            self.watched[upstream.lifetime] = Watched(upstream)
        home = await self.world.add_ending_gateway(self.life)
        self.gateways.append(home)
        await wait_until(lambda: is_home(home))
        for _ in range(ENTRIES - 1):
            self.gateways.append(await self.world.add_gateway())

    async def call_often(self, until):
        async with anyio.create_task_group() as tasks:
            while not is_over(until):
                self.number += 1
                state = self.gateways[self.number % len(self.gateways)]
                tasks.start_soon(self._call, state, self.number)
                await anyio.sleep(PAUSE)

    async def _call(self, state, number):
        entry = state.cfg.node
        try:
            answer = await ask(state, '/any/1', attempt=f'{entry}/{number}')
        except OSError:
            answer = None
        if state not in self.gateways:
            # It ended just now, perhaps with the answer under way.
            return
        self.statuses.append(answer.status)
        now = anyio.current_time()
        lifetime = answer.headers.get('signed', '').partition('.')[0]
        one = self.watched.get(lifetime)
        if one is None:
            return
        if 'takes-a-second' in answer.headers:
            one.limits_passed_on.setdefault(entry, now)
        if 'leaves' in answer.headers:
            one.leaving_passed_on.setdefault(entry, now)

    async def disturb(self, until):
        """Let something happen again and again."""
        leaver = self.luck.choice(list(self.watched.values()))
        events = [
            partial(self._leave, leaver),
            self._end_home,
            self._add_entry,
        ]
        self.luck.shuffle(events)
        while not is_over(until):
            await anyio.sleep(self.luck.uniform(0.2, 1.2))
            if events and self.luck.random() < 0.3:
                await events.pop()()
            one = self.luck.choice(list(self.watched.values()))
            one.name(self.luck.choice((None, *RATES, *RATES)))

    async def _leave(self, one):
        one.upstream.says['leaves'] = '1'

    async def _end_home(self):
        self.gateways.pop(0)
        self.life.cancel()

    async def _add_entry(self):
        self.gateways.append(await self.world.add_gateway())


@pytest.mark.parametrize('seed', range(SEEDS))
def test_no_course_passes_what_upstreams_say(seed):
    @in_world
    async def play(world):
        course = Course(world, Random(seed))
        await course.start()
        until = anyio.current_time() + SECONDS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(course.call_often, until)
            tasks.start_soon(course.disturb, until)
        for one in course.watched.values():
            ends = [arrival.at for arrival in one.arrivals]
            assert not any(map(one.passes_limit, ends))
            assert not one.late()
        assert set(course.statuses) <= {200, 503}

    play()
