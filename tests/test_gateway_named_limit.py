"""Let an upstream name a limit under a load that passes it.

Seen: an upstream that had named 1 request a second got 12 in 4 s from entries
that had passed on its answers, where 11 were allowed; one of 4.2 a second got
36 instead of 30.
How: usual load, no fault. Nine entries and the home went on to choose it by
what runs there.
Cause: no node read the limit; and nothing bound what all entries send to one
upstream over time.
Proof: the lines that tell what upstreams say, written on the code as it was,
with what the upstream got after them.
"""

import anyio
import pytest
from gateway_world import ask, in_world
from named_limit_checker import (
    SPAN,
    Arrival,
    allowed,
    arrived_from_told,
    most_in_a_span,
)
from spanfall_standins.gateway.upstream import whole

#: Seconds after the limit was named from which on it binds.
CONTACT = 3.0
PLAYED = CONTACT + SPAN + 1
#: Seconds between two requests of the callers of one entry.
PAUSE = 0.08
ENTRIES = 4
#: Part of the limit that callers who ask for more should get at least.
USED = 0.5


class Observer:
    """Hold what callers and one upstream saw."""

    def __init__(self):
        self.arrivals = []
        self.passed_on = {}
        self.statuses = []

    def watch(self, upstream):
        """Note each request that reaches an upstream, by its entry."""
        answer = upstream.behaviour

        async def noting(one, seen, stream):
            entry = seen.headers['attempt'].partition('/')[0]
            self.arrivals.append(Arrival(anyio.current_time(), entry))
            return await answer(one, seen, stream)

        upstream.behaviour = noting

    async def call(self, state, seconds):
        """Send requests to one entry for some seconds."""
        number = 0
        entry = state.cfg.node
        until = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                number += 1
                attempt = f'{entry}/{number}'
                tasks.start_soon(self._ask, state, entry, attempt)
                await anyio.sleep(PAUSE)

    async def _ask(self, state, entry, attempt):
        answer = await ask(state, '/any/1', attempt=attempt)
        self.statuses.append(answer.status)
        if 'takes-a-second' in answer.headers:
            self.passed_on.setdefault(entry, anyio.current_time())

    def reached(self):
        return arrived_from_told(self.arrivals, self.passed_on)


async def play_limit(world, rate, limited, others):
    """Name a limit at some upstreams; return what was seen of the first."""
    named = [await world.add_upstream(whole()) for _ in range(limited)]
    for _ in range(others):
        await world.add_upstream(whole())
    gateways = [await world.add_gateway() for _ in range(ENTRIES)]
    observer = Observer()
    observer.watch(named[0])
    named_at = anyio.current_time()
    for upstream in named:
        upstream.says = {'takes-a-second': str(rate)}
    async with anyio.create_task_group() as tasks:
        for state in gateways:
            tasks.start_soon(observer.call, state, PLAYED)
    return observer, named_at


@pytest.mark.parametrize('rate', (1, 4.2))
def test_an_upstream_gets_the_limit_that_it_names(rate):
    @in_world
    async def play(world):
        observer, named_at = await play_limit(world, rate, 1, 3)
        binds_from = named_at + CONTACT
        times = observer.reached()
        assert len(observer.passed_on) > 1
        assert most_in_a_span(times, binds_from) <= allowed(rate)
        late = [one for one in observer.arrivals if one.at >= binds_from]
        seconds = PLAYED - CONTACT
        assert len(late) >= USED * rate * seconds
        assert set(observer.statuses) == {200}

    play()
