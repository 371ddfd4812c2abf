"""Grant upstreams at the home, and at entries that have no home."""

from collections import Counter

import anyio
from gateway_world import SERVICE, ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.reporting import LOAD_EXPIRY_SECONDS
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import (
    EntryLoad,
    FleetLoads,
    Grant,
    GrantBook,
)
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_node.gateway.links.messages import GrantMessage
from spanfall_node.gateway.upstreams.grants import (
    LOCAL_DECISION_SECONDS,
    GrantClient,
)
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until
from test_gateway_home import two_gateways

UPSTREAMS = [
    ListedUpstream(f'u-{number}', 'llm', '', 'north', slots=8)
    for number in range(4)
]


def grant_one(book, entry, number):
    """Choose and grant an upstream for one request of an entry."""
    choice = choose(
        UPSTREAMS,
        RoutingRequest(f'a{entry}{number}', 'north', prompt_tokens=9000),
        FleetLoads(book, Loads()),
        PromptHistory(),
        0,
    )
    upstream_id = choice.upstream.upstream_id
    book.grant(entry, Grant(number, upstream_id, choice.prefill))
    return upstream_id


def test_simultaneous_requests_are_spread():
    """Grants count at once, before any entry has reported its load."""
    book = GrantBook()
    chosen = Counter(grant_one(book, str(number), 1) for number in range(8))
    assert set(chosen.values()) == {2}


def test_reported_grant_counts_once():
    book = GrantBook()
    book.grant('e', Grant(1, 'u-0', 100))
    book.grant('e', Grant(2, 'u-1', 200))
    book.apply_report('e', EntryLoad({'u-0': 1}, {'u-0': 100}, seen=1), 0)
    assert book.running == {'u-0': 1, 'u-1': 1}
    assert book.prefill == {'u-0': 100, 'u-1': 200}


def test_unused_grant_stops_counting():
    book = GrantBook()
    book.grant('e', Grant(1, 'u-0', 100))
    book.apply_report('e', EntryLoad({}, {}, seen=1), 0)
    assert not book.running
    assert not book.prefill


def test_silent_entry_is_dropped():
    book = GrantBook()
    book.apply_report('e', EntryLoad({'u-0': 3}, {'u-0': 9}, seen=0), 0)
    book.grant('e', Grant(1, 'u-1', 5))
    book.drop_silent_entries(LOAD_EXPIRY_SECONDS + 1)
    assert not book.running
    assert not book.prefill


COUNTS = st.dictionaries(st.sampled_from(['u-0', 'u-1']), st.integers(1, 9))
STEPS = st.lists(
    st.tuples(st.sampled_from('ab'), st.booleans(), COUNTS, COUNTS),
    max_size=30,
)


@given(STEPS)
def test_sums_are_reports_plus_later_grants(steps):
    book = GrantBook()
    numbers = Counter()
    loads = {}
    pending = {'a': Counter(), 'b': Counter()}
    for entry, is_report, running, prefill in steps:
        if is_report:
            load = EntryLoad(running, prefill, numbers[entry])
            book.apply_report(entry, load, 0)
            loads[entry] = load
            pending[entry].clear()
        else:
            numbers[entry] += 1
            book.grant(entry, Grant(numbers[entry], 'u-0', 7))
            pending[entry]['u-0'] += 1
    expected = pending['a'] + pending['b']
    for load in loads.values():
        expected.update(load.running)
    assert book.running == expected


@in_world
async def test_entries_share_the_counts_of_the_home(world):
    """Simultaneous requests of two entries get different upstreams."""
    home, other = await two_gateways(world)
    for _ in range(2):
        await world.add_upstream(complete_response())
    await wait_until(lambda: len(home.directory.rows) == 2)
    await wait_until(lambda: len(other.directory.rows) == 2)
    grants = GrantClient(home)
    asked = RoutingRequest('a1', 'north')
    first = await grants.choose(SERVICE, asked)
    home.loads.begin(first.upstream.upstream_id, 0)
    second = await grants.choose(SERVICE, asked)
    assert first.upstream != second.upstream
    answer = await ask(other, '/once/7')
    assert answer.status == 200
    entry = home.grant_book
    await wait_until(lambda: entry.running.total() == 1)


@in_world
async def test_entry_chooses_locally_without_home(world):
    """The first request waits a bounded time; the next ones do not wait."""
    await world.add_upstream(complete_response())
    state = await world.add_gateway()
    await wait_until(lambda: state.tenure is not None)
    state.tenure = None
    asked = []

    async def never_answered(message):
        asked.append(message.number)

    grants = GrantClient(state)
    grants.connect(never_answered)
    for number in range(3):
        choice = await grants.choose(
            SERVICE, RoutingRequest(f'a{number}', 'north')
        )
        assert choice is not None
    assert asked == [1]
    assert grants.load().seen == 1
    await anyio.sleep(LOCAL_DECISION_SECONDS)
    assert await grants.choose(SERVICE, RoutingRequest('a4', 'north'))
    assert asked == [1, 2]


@in_world
async def test_grant_of_removed_upstream_is_not_used(world):
    await world.add_upstream(complete_response())
    state = await world.add_gateway()
    await wait_until(lambda: state.tenure is not None)
    state.tenure = None
    grants = GrantClient(state)

    async def grant_gone(message):
        number = message.number
        grants.accept_answer(GrantMessage(number, Grant(number, 'gone', 0)))

    grants.connect(grant_gone)
    choice = await grants.choose(SERVICE, RoutingRequest('a1', 'north'))
    assert choice.upstream.upstream_id in state.directory.rows
