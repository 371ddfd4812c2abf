"""An upstream that states only in its responses that it leaves is drained.

Guards against relying on the upstream's store entry alone. With the store
unreachable for 13 s the upstream could not write that it leaves, and all nine
entries still sent it requests 2.1 to 7.2 s after relaying its statement, where
the bound is 2 s. Tested with the store reachable and unreachable.
"""

from dataclasses import replace

import anyio
import msgspec
import pytest
from arrivals import arrived_after, record_arrivals
from gateway_world import SERVICE, ask, in_world
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.orders import count_serving
from spanfall_standins.gateway.dialect import UPSTREAM_PREFIX
from spanfall_standins.gateway.upstream import complete_response, raw, refused
from support import wait_until
from test_gateway_succession import ending_gateway, is_home

#: Seconds after an entry relayed the statement in which it may still send.
DRAIN_SECONDS = 2.0
PAUSE = 0.05
ENTRIES = 3
LEAVING = {'leaves': '1'}
TRUNCATED = (
    b'HTTP/1.1 200 OK\r\nattempt: {id}\r\nsigned: s\r\nleaves: 1\r\n'
    b'content-length: 40\r\n\r\nhalf'
)
MISMATCHED = (
    b'HTTP/1.1 200 OK\r\nattempt: other\r\nsigned: s\r\nleaves: 1\r\n'
    b'content-length: 4\r\n\r\ndone'
)


class LeavingUpstream:
    """Record what callers and the leaving upstream receive."""

    def __init__(self, upstream):
        self.arrivals = record_arrivals(upstream)
        self.first_relayed_at = {}
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
                self.first_relayed_at.setdefault(entry, anyio.current_time())
            await anyio.sleep(PAUSE)

    def late_arrivals(self):
        """Return arrivals from entries after their drain time was over."""
        return arrived_after(
            self.arrivals, self.first_relayed_at, DRAIN_SECONDS
        )


@pytest.mark.parametrize('failing', (0, 503))
def test_a_leaving_upstream_gets_no_more_requests(failing):
    """Its store entry still states ready, or cannot be read at all."""

    @in_world
    async def play(world):
        upstreams = [
            await world.add_upstream(complete_response()) for _ in range(2)
        ]
        gateways = [await world.add_gateway() for _ in range(ENTRIES)]
        leaving = LeavingUpstream(upstreams[0])
        world.store.error_status = failing
        upstreams[0].statement_headers = LEAVING
        await leaving.call(gateways, 2 * DRAIN_SECONDS)
        assert leaving.first_relayed_at
        assert not leaving.late_arrivals()
        assert set(leaving.statuses) == {200}

    play()


def serving(state):
    return {row.lifetime for row in state.directory.serving(SERVICE)}


@in_world
async def test_a_leaving_statement_reaches_all_nodes(world):
    """Also a new home and nodes that start later; its entry states ready."""
    upstreams = [
        await world.add_upstream(complete_response()) for _ in range(2)
    ]
    left = {upstreams[1].lifetime}
    async with ending_gateway(world) as (home, life):
        await wait_until(lambda: is_home(home))
        others = [await world.add_gateway() for _ in range(2)]
        upstreams[0].statement_headers = LEAVING
        await call_until_received(others[0], upstreams[0])
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


async def call_until_received(state, upstream):
    """Send requests to an entry until one has reached an upstream."""
    before = len(upstream.received_requests)
    number = 0
    while len(upstream.received_requests) == before:
        number += 1
        await ask(state, '/any/1', attempt=f'h{number}')


@in_world
async def test_a_sole_upstream_that_leaves_gets_nothing(world):
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    upstream.statement_headers = LEAVING
    first = await ask(state, '/any/1', attempt='a')
    second = await ask(state, '/any/1', attempt='b')
    assert (first.status, second.status) == (200, 503)
    assert len(upstream.received_requests) == 1


@in_world
async def test_a_new_lifetime_at_the_address_is_served(world):
    """A lifetime's statement does not apply to the next at its address."""
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
    (complete_response(500), refused(), raw(TRUNCATED), raw(MISMATCHED)),
)
def test_leaving_counts_however_the_answer_ends(behaviour):
    """A failure, a refusal, a truncated and a mismatched answer."""

    @in_world
    async def play(world):
        upstream = await world.add_upstream(behaviour)
        state = await world.add_gateway()
        upstream.statement_headers = LEAVING
        await ask(state, '/any/1', attempt='a')
        assert not serving(state)

    play()


LISTED = ListedUpstream('u-1', SERVICE, '', 'north', slots=4)


def test_no_listing_revokes_a_leaving_statement():
    """Neither a newer listing as ready nor another node's listing does."""
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
