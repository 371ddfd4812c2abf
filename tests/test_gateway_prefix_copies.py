"""Shared prompt parts get as many copies as their heat pays for.

The load is that of seventy upstreams, two fifths busy, whose prompts belong to
1,250 sessions: each has a part of 3,800 tokens that its requests share, and
each request some 2,900 of its own. A session may be hot.
"""

from collections import defaultdict
from dataclasses import replace
from itertools import chain
from random import Random
from statistics import mean

import pytest
from gateway_world import SERVICE, in_world
from hypothesis import given, settings
from hypothesis import strategies as st
from running_prompts import RunningPrompts
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.prefix_heat import MAX_PARTS, PrefixHeat
from spanfall_core.gateway.known.prefixes import PromptPart
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.copies import (
    USEFUL_UTILISATION,
    has_enough_copies,
    record_heat,
    tokens_read_again,
)
from spanfall_core.gateway.routing.estimates import (
    TOLERATED_STALL_SECONDS,
    RoutingRequest,
)
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_node.gateway.links.messages import GrantRequest
from spanfall_node.gateway.upstreams.granting import decide_grant
from spanfall_node.gateway.upstreams.prefix_copies import EXCESS
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until
from test_gateway_shortlist import SLOTS, listed

RATE = 40_000
#: Requests per second for each upstream; each runs for a third of a second.
REQUESTS = 2.5
SESSIONS = 1250
SHARED, OWN, RUN_SECONDS = 3800, 2900, 0.3
SECONDS = 12


class Play:
    """Choose for a load; count copies, tokens read again and waits."""

    def __init__(self, *, tracked):
        self.prompts = PromptHistory(speeds={'llm': PrefillSpeed(0.03, RATE)})
        self.heat = self.prompts.track_heat('llm', is_on=tracked)
        self.running = RunningPrompts(RATE)
        self.waits = defaultdict(list)
        self.read_again = 0

    def run(self, rows, hot_share, later_rows, per_second):
        """Play all seconds; ``later_rows`` are there from the middle on."""
        draw, now = Random(3), 0
        while now < SECONDS:
            now += draw.expovariate(per_second)
            if now > SECONDS / 2:
                rows = later_rows
            is_hot = draw.random() < hot_share
            session = 0 if is_hot else draw.randrange(1, SESSIONS)
            own = int(draw.lognormvariate(-0.5, 1) * OWN)
            parts = (
                PromptPart(f's-{session}', SHARED),
                PromptPart(f'{now}', own),
            )
            self.send(
                rows, RoutingRequest(f'{now}', 'z', parts, SHARED + own), now
            )
        return self

    def send(self, rows, ask, now):
        """Choose for one request, and run it."""
        self.running.end_until(now)
        self.prompts.record_prompt(ask, now)
        choice = choose(rows, ask, self.running.loads, self.prompts, now)
        lifetime, prefixes = choice.upstream.lifetime, self.prompts.prefixes
        again = tokens_read_again(prefixes, lifetime, ask)
        if self.heat is not None:
            seconds = choice.prefill / RATE
            record_heat(self.heat, ask, SLOTS, seconds, RATE, now)
        prefixes.record(lifetime, ask.parts)
        wait = self.running.begin(choice, now, RUN_SECONDS)
        if now > SECONDS / 2:
            self.read_again += again
            self.waits[lifetime].append(wait)


def play_both(count, hot_share=0, later=None, per_second=None):
    """Return a play as without this part, and one with it."""
    rows, later_rows = listed(count), listed(later or count)
    return [
        Play(tracked=tracked).run(
            rows, hot_share, later_rows, per_second or REQUESTS * count
        )
        for tracked in (False, True)
    ]


def mean_wait(play, lifetimes=None):
    """Return the mean wait, at some of the upstreams or at all."""
    names = play.waits if lifetimes is None else lifetimes
    return mean(chain.from_iterable(play.waits[name] for name in names))


@pytest.mark.parametrize('count', [20, 70])
@pytest.mark.parametrize('hot_share', [0, 0.25])
def test_cold_sessions_get_one_copy(count, hot_share):
    """Load: as above; each session but the hot one fits one upstream.

    By the expected time of the request alone, 15 % of the shared tokens were
    read again at 20 upstreams, and 34 % at 70.
    """
    alone, shared = play_both(count, hot_share)
    assert shared.read_again < alone.read_again / 2
    assert mean_wait(shared) <= mean_wait(alone)


@pytest.mark.parametrize('hot_share', [0.1, 0.25, 0.5])
def test_hot_session_gets_copies_by_its_heat(hot_share):
    """Load: one session asks for what one to nine upstreams serve."""
    alone, shared = play_both(70, hot_share)
    hot = PromptPart('s-0', SHARED)
    copies, before = [
        len(list(play.prompts.prefixes.holders_of(hot)))
        for play in (shared, alone)
    ]
    needed = shared.heat.heat(hot.part_id, SECONDS) / USEFUL_UTILISATION
    assert needed * 0.8 < copies < needed * 2 + 2
    assert copies < before / 1.5
    assert mean_wait(shared) <= mean_wait(alone)


def test_long_hot_part_is_not_read_everywhere():
    """Load: a part takes half a second to read, and is hot at once.

    Those that queue for it at the first holder are no reason to read it at
    others: charged for the stall of the whole queue, 63 of 70 upstreams read it.
    """
    rows, part = listed(70), PromptPart('hot', 20_000)
    play = Play(tracked=True)
    for number in range(200):
        parts = part, PromptPart(f'{number}', 500)
        ask = RoutingRequest(f'{number}', 'z', parts, 20_500)
        play.send(rows, ask, number / 140)
    assert len(play.prompts.prefixes.holders_of(part)) < 20


def test_new_upstreams_share_an_overload():
    """Load: more than 30 upstreams can serve; 15 are added, which hold nothing.

    They are used before anybody waits longer at the others, although copies for
    them are charged.
    """
    alone, shared = play_both(30, 0.25, later=45, per_second=330)
    assert mean_wait(shared) < mean_wait(alone) * 0.7
    old = [row.lifetime for row in listed(30)]
    new = shared.waits.keys() - set(old)
    assert len(new) == 15
    assert mean_wait(shared, old) <= mean_wait(shared, new)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 29), st.integers(0, 9000)), max_size=60),
    st.sets(st.integers(0, 29)),
    st.integers(1, 50_000),
)
def test_nobody_waits_long_for_want_of_a_copy(sends, holders, tokens):
    """Load: any; some upstreams hold the shared part, and may be full."""
    rows, part = listed(30), PromptPart('s', tokens)
    ask = RoutingRequest('a', 'z', (part, PromptPart('o', 9)), tokens + 9)
    play = Play(tracked=True)
    for index, prefill in sends:
        play.running.loads.begin(rows[index].lifetime, prefill)
    for index in holders:
        play.prompts.prefixes.record(rows[index].lifetime, (part,))
    limited = choose(rows, ask, play.running.loads, play.prompts, 0)
    play.prompts.track_heat('llm', is_on=False)
    alone = choose(rows, ask, play.running.loads, play.prompts, 0)
    assert limited.seconds <= alone.seconds + TOLERATED_STALL_SECONDS


@pytest.mark.parametrize(
    ('holders', 'heat', 'capacity', 'is_enough'),
    [(1, 0.5, 1, True), (1, 0.5, 0.5, False), (1, 0, 0, False)]
    + [(90, 50, 1, True), (90, 60, 1, False), (90, 50, 0.8, False)],
)
def test_slow_holders_count_less(holders, heat, capacity, is_enough):
    """Load: heat for one upstream and for many, usual, slow and gone ones."""
    known = dict.fromkeys(range(holders))
    assert is_enough is has_enough_copies(known, heat, lambda _: capacity)


def test_old_heat_fades_and_is_bounded():
    """Load: ever new parts, each requested once, and then none."""
    heat = PrefixHeat()
    for number in range(2 * MAX_PARTS):
        heat.record(f'p-{number}', 1, 0)
    assert len(heat) == MAX_PARTS
    assert not heat.heat('p-0', 0)
    assert heat.heat(f'p-{2 * MAX_PARTS - 1}', 0) > 0.4
    assert heat.hottest(1, 20)[0][0] < 0.001


@in_world
async def test_copies_are_limited_where_speeds_count(world):
    """The home tracks heat for services with the feature on, and no longer."""
    state = await world.add_gateway()
    upstreams = [await world.add_upstream(complete_response()) for _ in '12']
    await wait_until(lambda: len(state.directory.serving(SERVICE)) == 2)
    part, own = PromptPart('s', SHARED), PromptPart('o', OWN)
    ask = RoutingRequest('a', 'z', (part, own), SHARED + OWN)
    tried = frozenset((upstreams[0].lifetime,))

    def excess_after(request):
        answer = decide_grant(state, 'e', 1, GrantRequest(SERVICE, request))
        assert answer.grant
        counter = state.counters.scheduling.shared_tokens_read_again
        return counter.labels(EXCESS)._value.get()

    for is_on, expected in ((False, 0), (True, SHARED), (False, SHARED)):
        state.granted_prompts.prefixes.forget(upstreams[1].lifetime)
        state.scheduling.shared_host_services.clear()
        if is_on:
            state.scheduling.add_shared_host_services([SERVICE])
        excess_after(replace(ask, tried=frozenset((upstreams[1].lifetime,))))
        assert excess_after(replace(ask, tried=tried)) == expected
        assert bool(state.granted_prompts.heats) is is_on
