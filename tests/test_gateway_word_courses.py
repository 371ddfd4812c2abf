"""Run random scenarios of upstream statements against a whole fleet.

Upstreams state, change and withdraw limits, one upstream leaves, the home ends
and an entry starts. The checks use only what arrives at the upstreams. CI runs
one seed; to run more:

    SPANFALL_SEEDS=20 .venv/bin/pytest tests/test_gateway_word_courses.py
"""

import os
from functools import partial
from random import Random

import anyio
import pytest
from arrivals import arrived_after, record_arrivals
from gateway_world import ask, in_world
from named_limit_checker import LIMIT_KNOWN_AFTER, WINDOW_SECONDS, allowed
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until
from test_gateway_succession import is_home

SEEDS = int(os.environ.get('SPANFALL_SEEDS', '1'))
DURATION_SECONDS = 12.0
PAUSE = 0.06
ENTRIES = 3
UPSTREAMS = 3
#: Seconds after which the first limit that an upstream states binds.
FIRST_LIMIT_GRACE_SECONDS = 3.0
#: Seconds after an entry relayed that an upstream leaves in which the entry may
#: still send it requests.
DRAIN_SECONDS = 2.0
RATES = (0, 0.5, 1, 3, 10)


def is_over(until):
    return anyio.current_time() >= until


class ObservedUpstream:
    """Record one upstream's statements and the requests that reach it."""

    def __init__(self, upstream):
        self.upstream = upstream
        #: Time and rate of each statement; None: no limit.
        self.statements = [(anyio.current_time(), None)]
        self.arrivals = record_arrivals(upstream)
        #: When each entry first relayed each kind of statement.
        self.limits_relayed_at = {}
        self.leaving_relayed_at = {}

    def state_limit(self, rate):
        self.statements.append((anyio.current_time(), rate))
        self.upstream.statement_headers.pop('takes-a-second', None)
        if rate is not None:
            self.upstream.statement_headers['takes-a-second'] = str(rate)

    def exceeds_limit(self, end):
        """Tell whether the window that ends at ``end`` holds too many requests."""
        begin = end - WINDOW_SECONDS - LIMIT_KNOWN_AFTER
        later = [*(at for at, _ in self.statements[1:]), float('inf')]
        in_force = [
            rate
            for (_, rate), until in zip(self.statements, later, strict=True)
            if until > begin
        ]
        since = min(
            (at for at, rate in self.statements if rate is not None),
            default=float('inf'),
        )
        if None in in_force or end < since + FIRST_LIMIT_GRACE_SECONDS:
            return False
        from_informed = arrived_after(
            self.arrivals, self.limits_relayed_at, LIMIT_KNOWN_AFTER
        )
        count = sum(
            end - WINDOW_SECONDS < one.at <= end for one in from_informed
        )
        return count > allowed(max(in_force))

    def late_arrivals(self):
        """Return arrivals from entries that had relayed that it leaves."""
        return arrived_after(
            self.arrivals, self.leaving_relayed_at, DRAIN_SECONDS
        )


class Scenario:
    """Hold a fleet, its upstreams and the statuses that callers got."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.gateways = []
        self.observed = {}
        self.statuses = []
        self.number = 0
        self.home_scope = anyio.CancelScope()

    async def start(self):
        for _ in range(UPSTREAMS):
            upstream = await self.world.add_upstream(complete_response())
            self.observed[upstream.lifetime] = ObservedUpstream(upstream)
        home = await self.world.add_ending_gateway(self.home_scope)
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
            # The entry has just ended, perhaps before it sent its response.
            return
        self.statuses.append(answer.status)
        now = anyio.current_time()
        lifetime = answer.headers.get('signed', '').partition('.')[0]
        one = self.observed.get(lifetime)
        if one is None:
            return
        if 'takes-a-second' in answer.headers:
            one.limits_relayed_at.setdefault(entry, now)
        if 'leaves' in answer.headers:
            one.leaving_relayed_at.setdefault(entry, now)

    async def inject_events(self, until):
        """Apply random events and limits until a time."""
        leaving = self.rng.choice(list(self.observed.values()))
        events = [
            partial(self._leave, leaving),
            self._end_home,
            self._add_entry,
        ]
        self.rng.shuffle(events)
        while not is_over(until):
            await anyio.sleep(self.rng.uniform(0.2, 1.2))
            if events and self.rng.random() < 0.3:
                await events.pop()()
            one = self.rng.choice(list(self.observed.values()))
            one.state_limit(self.rng.choice((None, *RATES, *RATES)))

    async def _leave(self, one):
        one.upstream.statement_headers['leaves'] = '1'

    async def _end_home(self):
        self.gateways.pop(0)
        self.home_scope.cancel()

    async def _add_entry(self):
        self.gateways.append(await self.world.add_gateway())


@pytest.mark.parametrize('seed', range(SEEDS))
def test_no_scenario_exceeds_what_upstreams_state(seed):
    @in_world
    async def play(world):
        scenario = Scenario(world, Random(seed))
        await scenario.start()
        until = anyio.current_time() + DURATION_SECONDS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scenario.call_often, until)
            tasks.start_soon(scenario.inject_events, until)
        for one in scenario.observed.values():
            ends = [arrival.at for arrival in one.arrivals]
            assert not any(map(one.exceeds_limit, ends))
            assert not one.late_arrivals()
        assert set(scenario.statuses) <= {200, 503}

    play()
