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

from dataclasses import replace

import anyio
import msgspec
import pytest
from arrivals import arrived_after, note_arrivals
from gateway_world import SERVICE, ask, in_world
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.orders import count_serving
from spanfall_standins.gateway.dialect import UPSTREAM_PREFIX
from spanfall_standins.gateway.upstream import complete_response, raw, refused
from support import wait_until
from test_gateway_succession import ending_gateway, is_home

#: Seconds after an entry passed on the word in which requests may still come.
DRAIN = 2.0
PAUSE = 0.05
ENTRIES = 3
LEAVING = {'leaves': '1'}
BROKEN_OFF = (
    b'HTTP/1.1 200 OK\r\nattempt: {id}\r\nsigned: s\r\nleaves: 1\r\n'
    b'content-length: 40\r\n\r\nhalf'
)
OTHERS_ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt: other\r\nsigned: s\r\nleaves: 1\r\n'
    b'content-length: 4\r\n\r\ndone'
)


class Leaver:
    """Hold what callers and the upstream that leaves saw."""

    def __init__(self, upstream):
        self.arrivals = note_arrivals(upstream)
        self.passed_on = {}
        self.statuses = []

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

    def late(self):
        """Return what arrived later than allowed after an entry was told."""
        return arrived_after(self.arrivals, self.passed_on, DRAIN)


@pytest.mark.parametrize('failing', (0, 503))
def test_one_that_says_so_gets_nothing_more(failing):
    """Its entry says that it is ready, or cannot be read at all."""

    @in_world
    async def play(world):
        upstreams = [
            await world.add_upstream(complete_response()) for _ in range(2)
        ]
        gateways = [await world.add_gateway() for _ in range(ENTRIES)]
        leaver = Leaver(upstreams[0])
        world.store.error_status = failing
        upstreams[0].statement_headers = LEAVING
        await leaver.call(gateways, 2 * DRAIN)
        assert leaver.passed_on
        assert not leaver.late()
        assert set(leaver.statuses) == {200}

    play()


def serving(state):
    return {row.lifetime for row in state.directory.serving(SERVICE)}


@in_world
async def test_all_nodes_know_what_one_heard(world):
    """A new home too, and those who start later; its entry says ready."""
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    left = {upstreams[1].lifetime}
    async with ending_gateway(world) as (home, life):
        await wait_until(lambda: is_home(home))
        others = [await world.add_gateway() for _ in range(2)]
        upstreams[0].statement_headers = LEAVING
        await hear_once(others[0], upstreams[0])
        await wait_until(
            lambda: all(serving(one) == left for one in (home, *others)),
        )
        life.cancel()
    await wait_until(lambda: any(is_home(state) for state in others))
    late = await world.add_gateway()
    await wait_until(lambda: serving(late) == left)
    before = len(upstreams[0].received_requests)
    statuses = [
        (await ask(state, '/any/1', attempt=f'l{number}')).status
        for number, state in enumerate((*others, late))
    ]
    assert statuses == [200, 200, 200]
    assert len(upstreams[0].received_requests) == before


async def hear_once(state, upstream):
    """Send requests to an entry until one has reached an upstream."""
    before = len(upstream.received_requests)
    number = 0
    while len(upstream.received_requests) == before:
        number += 1
        await ask(state, '/any/1', attempt=f'h{number}')


@in_world
async def test_the_last_one_that_leaves_gets_nothing(world):
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    upstream.statement_headers = LEAVING
    first = await ask(state, '/any/1', attempt='a')
    second = await ask(state, '/any/1', attempt='b')
    assert (first.status, second.status) == (200, 503)
    assert len(upstream.received_requests) == 1


@in_world
async def test_another_lifetime_there_is_served(world):
    """What one lifetime said does not hold for the next at its address."""
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    upstream.statement_headers = LEAVING
    await ask(state, '/any/1', attempt='a')
    row = state.directory.rows[upstream.lifetime]
    world.let_lapse(upstream)
    await wait_until(lambda: not state.directory.rows)
    upstream.statement_headers = {}
    entry = msgspec.json.encode(replace(row, born=2, said_leaving=False))
    world.store.put(f'{UPSTREAM_PREFIX}{upstream.lifetime}', entry.decode())
    await wait_until(lambda: bool(serving(state)))
    answer = await ask(state, '/any/1', attempt='b')
    assert answer.status == 200


@pytest.mark.parametrize(
    'behaviour',
    (complete_response(500), refused(), raw(BROKEN_OFF), raw(OTHERS_ANSWER)),
)
def test_the_word_counts_however_the_answer_ends(behaviour):
    """A failure, a refusal, one that breaks off, one to another request."""

    @in_world
    async def play(world):
        upstream = await world.add_upstream(behaviour)
        state = await world.add_gateway()
        upstream.statement_headers = LEAVING
        await ask(state, '/any/1', attempt='a')
        assert not serving(state)

    play()


LISTED = ListedUpstream('u-1', SERVICE, '', 'north', slots=4)


def test_no_listing_takes_the_word_back():
    """Neither a newer one that says ready, nor one of another node."""
    said = set()
    directory = Directory(said)
    directory.apply(1, [LISTED], 0, float('-inf'))
    known = directory.serving(SERVICE)
    directory.apply_statements([LISTED.lifetime])
    assert directory.serving(SERVICE) is known
    digest = directory.digest
    said.add(LISTED.lifetime)
    directory.apply_statements(['u-2', LISTED.lifetime])
    assert not directory.serving(SERVICE)
    for revision in (1, 2, 3):
        directory.apply(revision, [LISTED], revision, float('-inf'))
        assert not directory.serving(SERVICE)
    assert directory.digest == digest
    assert count_serving(directory.rows.values()).total() == 0
