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
from spanfall_standins.gateway.upstream import refused, whole
from support import wait_until

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
