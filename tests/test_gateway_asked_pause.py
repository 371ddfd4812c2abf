"""Let an upstream turn requests away and ask its sender for a pause.

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
from spanfall_core.gateway.known.pauses import MOST_NAMED, Pauses
from spanfall_standins.gateway.upstream import refused, whole
from test_gateway_home import two_gateways

PAUSE_SECONDS = 2.0
#: From when on the pause binds, and the requests that may come in it.
BINDS_AFTER = 0.5
MOST = 2
STEP = 0.05
TURNS_AWAY = {'pause': str(PAUSE_SECONDS)}
NUMBERS = count()


class Paused:
    """Hold what one upstream sees, and the entries that it turned away."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.arrivals = []
        self.asked = {}
        self.answers = whole()
        upstream.behaviour = self._answer

    async def _answer(self, one, seen, stream):
        entry = seen.headers['attempt'].partition('/')[0]
        now = anyio.current_time()
        self.arrivals.append((now, entry))
        if 'pause' in one.says:
            self.asked.setdefault(entry, now)
        return await self.answers(one, seen, stream)

    def turn_away(self):
        """Turn away from now on and ask for a pause."""
        self.answers = refused()
        self.upstream.says = TURNS_AWAY

    def in_pause(self, entry):
        """Return how many requests of an entry came in its pause."""
        asked = self.asked[entry]
        binds = asked + BINDS_AFTER
        ends = asked + PAUSE_SECONDS
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


async def call_until_asked(state, paused):
    while state.cfg.node not in paused.asked:
        await call(state, STEP)


@pytest.mark.parametrize('others', (0, 1))
def test_a_pause_is_kept(others):
    @in_world
    async def play(world):
        paused = Paused(await world.add_upstream(whole()))
        for _ in range(others):
            await world.add_upstream(whole())
        gateways = [await world.add_gateway() for _ in range(2)]
        paused.turn_away()
        entry = gateways[1].cfg.node
        await call_until_asked(gateways[1], paused)
        await call(gateways[1], PAUSE_SECONDS)
        assert paused.in_pause(entry) <= MOST

    play()


@in_world
async def test_who_meets_a_pause_comes_back_at_its_end(world):
    """At once, with that time; then it is served as before."""
    paused = Paused(await world.add_upstream(whole()))
    state = await world.add_gateway()
    paused.turn_away()
    refusals = [await ask(state, '/any/1', attempt=name) for name in 'abc']
    assert {one.status for one in refusals} == {503}
    seconds = [float(one.headers['retry-after']) for one in refusals]
    assert seconds == sorted(seconds, reverse=True)
    assert PAUSE_SECONDS >= seconds[0] and seconds[-1] > 0
    assert len(paused.arrivals) == 1
    paused.answers = whole()
    paused.upstream.says = {}
    await anyio.sleep(seconds[-1])
    served = await ask(state, '/any/1', attempt='d')
    failures = state.loads.failures_at('u-1', state.timers.now())
    assert (served.status, failures) == (200, 0)


@in_world
async def test_a_pause_is_asked_of_one_entry(world):
    """The home that grants for another entry has no pause itself."""
    paused = Paused(await world.add_upstream(whole()))
    home, other = await two_gateways(world)
    paused.turn_away()
    refused_once = await ask(other, '/any/1', attempt='o/1')
    paused.answers = whole()
    paused.upstream.says = {}
    served = await ask(home, '/any/1', attempt='h/1')
    kept = await ask(other, '/any/1', attempt='o/2')
    statuses = [one.status for one in (refused_once, served, kept)]
    assert statuses == [503, 200, 503]


def test_pauses_end_and_do_not_shrink():
    pauses = Pauses()
    pauses.note('a', 5, 0)
    pauses.note('b', 2, 0)
    pauses.note('a', 1, 1)
    assert pauses.named(1) == {'a', 'b'}
    assert pauses.first_end(['a', 'b', 'c'], 1) == 1
    assert pauses.active(2) == {'a'}
    assert pauses.first_end(['b'], 2) is None
    assert not pauses.named(5)


def test_the_home_is_told_the_latest():
    """A grant for one of the others is not used, as the entry knows it."""
    pauses = Pauses()
    for number in range(2 * MOST_NAMED):
        pauses.note(f'u-{number}', 9, 0)
    latest = {f'u-{after}' for after in range(MOST_NAMED, 2 * MOST_NAMED)}
    assert pauses.named(1) == latest
