"""Let an upstream turn requests away and ask its sender for a back-off.

Seen: nothing yet; the pages name the bound with this matter: at most two
requests from an entry between half a second after such an answer and the end
of the time that it names.
How: an upstream in need answers 503 with a time to come back.
Cause: the time was read from no answer; a refusal counted as a third of a
failure, so the upstream got less for some seconds, and for no fixed time.
Proof: this test, with one upstream and with two.
"""

from itertools import count

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_core.gateway.known.backoffs import MAX_AVOIDED_UPSTREAMS, Backoffs
from spanfall_standins.gateway.upstream import complete_response, refused
from test_gateway_home import two_gateways

BACKOFF_SECONDS = 2.0
#: From when on the back-off binds, and the requests that may come in it.
BINDS_AFTER = 0.5
MOST = 2
STEP = 0.05
TURNS_AWAY = {'back-off': str(BACKOFF_SECONDS)}
NUMBERS = count()


class BusyUpstream:
    """Hold what one upstream sees, and the entries that it turned away."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.arrivals = []
        self.asked = {}
        self.answers = complete_response()
        upstream.behaviour = self._answer

    async def _answer(self, one, seen, stream):
        entry = seen.headers['attempt'].partition('/')[0]
        now = anyio.current_time()
        self.arrivals.append((now, entry))
        if 'back-off' in one.statement_headers:
            self.asked.setdefault(entry, now)
        return await self.answers(one, seen, stream)

    def turn_away(self):
        """Turn away from now on and ask for a back-off."""
        self.answers = refused()
        self.upstream.statement_headers = TURNS_AWAY

    def in_backoff(self, entry):
        """Return how many requests of an entry came in its back-off."""
        asked = self.asked[entry]
        binds = asked + BINDS_AFTER
        ends = asked + BACKOFF_SECONDS
        return sum(
            binds < at < ends for at, sender in self.arrivals if sender == entry
        )


async def call(state, seconds):
    """Send requests to an entry for some seconds; return the answers."""
    until = anyio.current_time() + seconds
    answers = []
    while anyio.current_time() < until:
        attempt = f'{state.cfg.node}/{next(NUMBERS)}'
        answers.append(await ask(state, '/any/1', attempt=attempt))
        await anyio.sleep(STEP)
    return answers


async def call_until_asked(state, busy):
    while state.cfg.node not in busy.asked:
        await call(state, STEP)


@pytest.mark.parametrize('others', (0, 1))
def test_a_backoff_is_kept(others):
    @in_world
    async def play(world):
        busy = BusyUpstream(await world.add_upstream(complete_response()))
        for _ in range(others):
            await world.add_upstream(complete_response())
        gateways = [await world.add_gateway() for _ in range(2)]
        busy.turn_away()
        entry = gateways[1].cfg.node
        await call_until_asked(gateways[1], busy)
        await call(gateways[1], BACKOFF_SECONDS)
        assert busy.in_backoff(entry) <= MOST

    play()


@in_world
async def test_who_meets_a_backoff_is_told_its_end(world):
    """At once, with that time; then it is served as before."""
    busy = BusyUpstream(await world.add_upstream(complete_response()))
    state = await world.add_gateway()
    busy.turn_away()
    refusals = [await ask(state, '/any/1', attempt=name) for name in 'abc']
    assert {one.status for one in refusals} == {503}
    seconds = [float(one.headers['retry-after']) for one in refusals]
    assert seconds == sorted(seconds, reverse=True)
    assert BACKOFF_SECONDS >= seconds[0] and seconds[-1] > 0
    assert len(busy.arrivals) == 1
    busy.answers = complete_response()
    busy.upstream.statement_headers = {}
    await anyio.sleep(seconds[-1])
    served = await ask(state, '/any/1', attempt='d')
    failures = state.loads.failures_at('u-1', state.timers.now())
    assert (served.status, failures) == (200, 0)


@in_world
async def test_a_backoff_is_asked_of_one_entry(world):
    """The home that grants for another entry has no back-off itself."""
    busy = BusyUpstream(await world.add_upstream(complete_response()))
    home, other = await two_gateways(world)
    busy.turn_away()
    refused_once = await ask(other, '/any/1', attempt='o/1')
    busy.answers = complete_response()
    busy.upstream.statement_headers = {}
    served = await ask(home, '/any/1', attempt='h/1')
    kept = await ask(other, '/any/1', attempt='o/2')
    statuses = [one.status for one in (refused_once, served, kept)]
    assert statuses == [503, 200, 503]


def test_backoffs_end_and_do_not_shrink():
    backoffs = Backoffs()
    backoffs.record('a', 5, 0)
    backoffs.record('b', 2, 0)
    backoffs.record('a', 1, 1)
    assert backoffs.newest(1) == {'a', 'b'}
    assert backoffs.seconds_until_first_end(['a', 'b', 'c'], 1) == 1
    assert backoffs.active(2) == {'a'}
    assert backoffs.seconds_until_first_end(['b'], 2) is None
    assert not backoffs.newest(5)


def test_the_home_is_told_the_latest():
    """A grant for one of the others is not used, as the entry knows it."""
    backoffs = Backoffs()
    for number in range(2 * MAX_AVOIDED_UPSTREAMS):
        backoffs.record(f'u-{number}', 9, 0)
    latest = {
        f'u-{after}'
        for after in range(MAX_AVOIDED_UPSTREAMS, 2 * MAX_AVOIDED_UPSTREAMS)
    }
    assert backoffs.newest(1) == latest
