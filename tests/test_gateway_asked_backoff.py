"""Entries respect the back-off that an upstream requests with a refusal.

An overloaded upstream answers 503 with a back-off time. From half a second
after such an answer to the end of that time, an entry may send it at most two
requests. Guards against ignoring the back-off: a refusal then counts only as a
third of a failure, so the upstream gets fewer requests for no fixed time.
"""

from itertools import count

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_core.gateway.known.backoffs import MAX_AVOIDED_UPSTREAMS, Backoffs
from spanfall_standins.gateway.upstream import complete_response, refused
from test_gateway_home import two_gateways

BACKOFF_SECONDS = 2.0
#: Seconds after which a back-off binds, and the requests allowed during it.
BINDS_AFTER = 0.5
MAX_REQUESTS = 2
PAUSE = 0.05
BACKOFF_HEADERS = {'back-off': str(BACKOFF_SECONDS)}
NUMBERS = count()


class BusyUpstream:
    """Record what one upstream receives, and which entries it refused."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.arrivals = []
        self.backoff_sent_at = {}
        self.respond = complete_response()
        upstream.behaviour = self._answer

    async def _answer(self, one, seen, stream):
        entry = seen.headers['attempt'].partition('/')[0]
        now = anyio.current_time()
        self.arrivals.append((now, entry))
        if 'back-off' in one.statement_headers:
            self.backoff_sent_at.setdefault(entry, now)
        return await self.respond(one, seen, stream)

    def start_refusing(self):
        """Refuse requests from now on and ask for a back-off."""
        self.respond = refused()
        self.upstream.statement_headers = BACKOFF_HEADERS

    def count_in_backoff(self, entry):
        """Return how many requests an entry sent during its back-off."""
        backoff_sent_at = self.backoff_sent_at[entry]
        binds = backoff_sent_at + BINDS_AFTER
        ends = backoff_sent_at + BACKOFF_SECONDS
        return sum(
            binds < at < ends for at, sender in self.arrivals if sender == entry
        )


async def call(state, seconds):
    """Send requests to an entry for some seconds; return the responses."""
    until = anyio.current_time() + seconds
    answers = []
    while anyio.current_time() < until:
        attempt = f'{state.cfg.node}/{next(NUMBERS)}'
        answers.append(await ask(state, '/any/1', attempt=attempt))
        await anyio.sleep(PAUSE)
    return answers


async def call_until_backoff(state, busy):
    while state.cfg.node not in busy.backoff_sent_at:
        await call(state, PAUSE)


@pytest.mark.parametrize('others', (0, 1))
def test_entries_respect_a_backoff(others):
    @in_world
    async def play(world):
        busy = BusyUpstream(await world.add_upstream(complete_response()))
        for _ in range(others):
            await world.add_upstream(complete_response())
        gateways = [await world.add_gateway() for _ in range(2)]
        busy.start_refusing()
        entry = gateways[1].cfg.node
        await call_until_backoff(gateways[1], busy)
        await call(gateways[1], BACKOFF_SECONDS)
        assert busy.count_in_backoff(entry) <= MAX_REQUESTS

    play()


@in_world
async def test_refusals_state_the_remaining_backoff(world):
    """Refusals are immediate; after the back-off, requests are served."""
    busy = BusyUpstream(await world.add_upstream(complete_response()))
    state = await world.add_gateway()
    busy.start_refusing()
    refusals = [await ask(state, '/any/1', attempt=name) for name in 'abc']
    assert {one.status for one in refusals} == {503}
    seconds = [float(one.headers['retry-after']) for one in refusals]
    assert seconds == sorted(seconds, reverse=True)
    assert BACKOFF_SECONDS >= seconds[0] and seconds[-1] > 0
    assert len(busy.arrivals) == 1
    busy.respond = complete_response()
    busy.upstream.statement_headers = {}
    await anyio.sleep(seconds[-1])
    served = await ask(state, '/any/1', attempt='d')
    failures = state.loads.failures_at('u-1', state.timers.now())
    assert (served.status, failures) == (200, 0)


@in_world
async def test_a_backoff_applies_to_one_entry(world):
    """A home that grants for an entry in back-off is not in back-off itself."""
    busy = BusyUpstream(await world.add_upstream(complete_response()))
    home, other = await two_gateways(world)
    busy.start_refusing()
    refused_once = await ask(other, '/any/1', attempt='o/1')
    busy.respond = complete_response()
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


def test_the_home_receives_the_latest_backoffs():
    """The entry ignores grants for the others, as it knows their back-offs."""
    backoffs = Backoffs()
    for number in range(2 * MAX_AVOIDED_UPSTREAMS):
        backoffs.record(f'u-{number}', 9, 0)
    latest = {
        f'u-{after}'
        for after in range(MAX_AVOIDED_UPSTREAMS, 2 * MAX_AVOIDED_UPSTREAMS)
    }
    assert backoffs.newest(1) == latest
