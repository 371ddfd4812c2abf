"""Let an upstream say in its answers that it leaves, and nowhere else.

Seen: requests reached an upstream 2.1 to 7.2 s after an entry had passed on an
answer in which it said that it leaves, bound 2 s; from all nine entries.
How: the store was away for 13 s, so neither could the upstream write that it
leaves nor could any node have read it.
Cause: that an upstream leaves had one source, its entry in the store; its own
word in each answer was passed on and decided nothing.
Proof: it got requests in each second until its entry came, also from entries
that had its word; here the same with the store away and with the store well.
"""

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_standins.gateway.upstream import whole

#: Seconds after an entry passed on the word in which requests may still come.
DRAIN = 2.0
PAUSE = 0.05
ENTRIES = 3
LEAVING = {'leaves': '1'}


class Leaver:
    """Hold what callers and the upstream that leaves saw."""

    def __init__(self, upstream):
        self.arrivals = []
        self.passed_on = {}
        self.statuses = []
        answer = upstream.behaviour

        async def noting(one, seen, stream):
            entry = seen.headers['attempt'].partition('/')[0]
            self.arrivals.append((anyio.current_time(), entry))
            return await answer(one, seen, stream)

        upstream.behaviour = noting

    async def call(self, gateways, seconds):
        """Send requests to each entry in turn for some seconds."""
        until = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until:
            state = gateways[number % len(gateways)]
            number += 1
            entry = state.cfg.node
            answer = await ask(state, '/any/1', attempt=f'{entry}/{number}')
            self.statuses.append(answer.status)
            if 'leaves' in answer.headers:
                self.passed_on.setdefault(entry, anyio.current_time())
            await anyio.sleep(PAUSE)

    def late(self, seconds=DRAIN):
        """Return what arrived later than allowed after an entry was told."""
        never = float('inf')
        return [
            entry
            for at, entry in self.arrivals
            if at > self.passed_on.get(entry, never) + seconds
        ]


@pytest.mark.parametrize('failing', (0, 503))
def test_one_that_says_so_gets_nothing_more(failing):
    """Its entry says that it is ready, or cannot be read at all."""

    @in_world
    async def play(world):
        upstreams = [await world.add_upstream(whole()) for _ in range(2)]
        gateways = [await world.add_gateway() for _ in range(ENTRIES)]
        leaver = Leaver(upstreams[0])
        world.store.failing = failing
        upstreams[0].says = LEAVING
        await leaver.call(gateways, 2 * DRAIN)
        assert leaver.passed_on
        assert not leaver.late()
        assert set(leaver.statuses) == {200}

    play()
