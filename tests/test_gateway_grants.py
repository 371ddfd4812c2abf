"""Grants of the home: exact counts, and entries that decide alone."""

from collections import Counter

import anyio
from gateway_world import SERVICE, ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.reporting import UNHEARD_SECONDS
from spanfall_core.gateway.routing.balance import PromptHistory, choose
from spanfall_core.gateway.routing.estimates import Ask
from spanfall_core.gateway.routing.grants import (
    EntryLoad,
    FleetLoads,
    Grant,
    GrantBook,
)
from spanfall_node.gateway.links.messages import GrantMessage
from spanfall_node.gateway.upstreams.grants import (
    LOCAL_DECISION_SECONDS,
    GrantClient,
)
from spanfall_standins.gateway.upstream import whole
from support import wait_until
from test_gateway_home import two_gateways

UPSTREAMS = [
    ListedUpstream(f'u-{number}', 'llm', '', 'north', slots=8)
    for number in range(4)
]


def grant_one(book, entry, number):
    """Let the home choose for one request of an entry."""
    choice = choose(
        UPSTREAMS,
        Ask(f'a{entry}{number}', 'north', prompt_tokens=9000),
        FleetLoads(book, Loads()),
        PromptHistory(),
        0,
    )
    upstream_id = choice.upstream.upstream_id
    book.grant(entry, Grant(number, upstream_id, choice.prefill))
    return upstream_id


def test_requests_of_one_moment_are_spread():
    """No entry has told of its own yet when the others ask."""
    book = GrantBook()
    chosen = Counter(grant_one(book, str(place), 1) for place in range(8))
    assert set(chosen.values()) == {2}


def test_a_grant_in_the_counts_counts_once():
    book = GrantBook()
    book.grant('e', Grant(1, 'u-0', 100))
    book.grant('e', Grant(2, 'u-1', 200))
    book.learn('e', EntryLoad({'u-0': 1}, {'u-0': 100}, seen=1), 0)
    assert book.running == {'u-0': 1, 'u-1': 1}
    assert book.prefill == {'u-0': 100, 'u-1': 200}


def test_a_grant_that_was_not_used_stops_to_count():
    book = GrantBook()
    book.grant('e', Grant(1, 'u-0', 100))
    book.learn('e', EntryLoad({}, {}, seen=1), 0)
    assert not book.running
    assert not book.prefill


def test_a_silent_entry_is_forgotten():
    book = GrantBook()
    book.learn('e', EntryLoad({'u-0': 3}, {'u-0': 9}, seen=0), 0)
    book.grant('e', Grant(1, 'u-1', 5))
    book.forget_silent(UNHEARD_SECONDS + 1)
    assert not book.running
    assert not book.prefill


COUNTS = st.dictionaries(st.sampled_from(['u-0', 'u-1']), st.integers(1, 9))
STEPS = st.lists(
    st.tuples(st.sampled_from('ab'), st.booleans(), COUNTS, COUNTS),
    max_size=30,
)


@given(STEPS)
def test_sums_are_counts_and_later_grants(steps):
    book = GrantBook()
    numbers = Counter()
    loads = {}
    pending = {'a': Counter(), 'b': Counter()}
    for entry, is_report, running, prefill in steps:
        if is_report:
            load = EntryLoad(running, prefill, numbers[entry])
            book.learn(entry, load, 0)
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
async def test_entries_share_what_the_home_knows(world):
    """Two entries that ask at once do not take the same upstream."""
    home, other = await two_gateways(world)
    for _ in range(2):
        await world.add_upstream(whole())
    await wait_until(lambda: len(home.directory.rows) == 2)
    await wait_until(lambda: len(other.directory.rows) == 2)
    grants = GrantClient(home)
    asked = Ask('a1', 'north')
    first = await grants.choose(SERVICE, asked)
    home.loads.begin(first.upstream.upstream_id, 0)
    second = await grants.choose(SERVICE, asked)
    assert first.upstream != second.upstream
    answer = await ask(other, '/once/7')
    assert answer.status == 200
    entry = home.grant_book
    await wait_until(lambda: entry.running.total() == 1)


@in_world
async def test_an_entry_decides_alone_without_a_home(world):
    """The wait is bounded, and the next requests do not wait at all."""
    await world.add_upstream(whole())
    state = await world.add_gateway()
    await wait_until(lambda: state.tenure is not None)
    state.tenure = None
    asked = []

    async def never_answered(message):
        asked.append(message.number)

    grants = GrantClient(state)
    grants.connect(never_answered)
    for number in range(3):
        choice = await grants.choose(SERVICE, Ask(f'a{number}', 'north'))
        assert choice is not None
    assert asked == [1]
    assert grants.load().seen == 1
    await anyio.sleep(LOCAL_DECISION_SECONDS)
    assert await grants.choose(SERVICE, Ask('a4', 'north'))
    assert asked == [1, 2]


@in_world
async def test_a_grant_of_what_is_gone_is_not_used(world):
    await world.add_upstream(whole())
    state = await world.add_gateway()
    await wait_until(lambda: state.tenure is not None)
    state.tenure = None
    grants = GrantClient(state)

    async def grant_gone(message):
        number = message.number
        grants.accept_answer(GrantMessage(number, Grant(number, 'gone', 0)))

    grants.connect(grant_gone)
    choice = await grants.choose(SERVICE, Ask('a1', 'north'))
    assert choice.upstream.upstream_id in state.directory.rows
