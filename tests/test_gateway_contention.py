"""Decide who is served while callers offer more than upstreams can take.

The loads are a burst of long prompts of all workspaces, one workspace at six
times its usual, and one that asks a few application upstreams for more than
they run. Times are virtual.
"""

import random
from collections import Counter
from dataclasses import replace
from itertools import count, islice, permutations

import pytest
from hypothesis import given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from spanfall_core.gateway.contention.admission import (
    Contention,
    Hold,
    Reject,
    RejectReason,
    Send,
    decide,
    give_turn,
    has_room,
)
from spanfall_core.gateway.contention.held import TURN_SECONDS, HeldQueue
from spanfall_core.gateway.contention.prediction import predict
from spanfall_core.gateway.contention.returns import (
    MAX_RETRY_AFTER,
    Backlog,
    ReturnPlan,
)
from spanfall_core.gateway.contention.room import (
    ServiceRoom,
    UpstreamLoad,
    openings,
)
from spanfall_core.gateway.contention.slack import Rank
from spanfall_core.gateway.contention.turns import TURNS_PER_YIELD
from spanfall_core.gateway.contention.waiting import (
    AdmissionTerms,
    Asker,
    urgency,
)

#: A service of ten places whose calls take 0.1 s: 100 a second.
RUN_SECONDS = 0.1
PLACES = 10
RATE = PLACES / RUN_SECONDS
FULL = ServiceRoom(2, PLACES, PLACES, RATE, RUN_SECONDS, free=0)
OPEN = ServiceRoom(2, PLACES, PLACES - 1, RATE, RUN_SECONDS, free=1)
DEADLINE = 2.0
WORKSPACES = 'abc'
HELD = 'spanfall_core.gateway.contention.held'
RETURNS = 'spanfall_core.gateway.contention.returns'


def terms(workspace='a', **changed):
    stated = {
        'weight': 1,
        'priority': 55,
        'units': 1,
        'target_in': 0.5,
        'deadline_in': DEADLINE,
    }
    return AdmissionTerms(workspace, **stated | changed)


def asker(number=0, entry='entry'):
    return Asker(entry, f'request-{number}')


def fill(contention, number, now=0, workspace='other', **changed):
    """Hold so many requests of another workspace."""
    for place in range(number):
        one = terms(workspace, **changed)
        contention.queue.hold(Asker('busy', f'{workspace}-{place}'), one, now)


def turns(queue, now=0):
    """Take all turns; return the requests in the order of their turns."""
    while queue:
        turn = queue.next_turn(now)
        assert queue.take(turn.asker, turn.ticket, now)
        yield turn


def offer(rates, target, seconds=10, seed=1):
    """Let workspaces offer calls at their rates; one place frees each tick.

    Return by workspace how many are served on time, rejected at once, and held
    in vain.
    """
    contention, rng = Contention(), random.Random(seed)
    on_time, rejected, in_vain = Counter(), Counter(), Counter()
    for tick in range(int(seconds * RATE)):
        now = tick / RATE
        calls = [
            name
            for name, rate in rates.items()
            for _ in range(rate)
            if rng.random() < 1 / RATE
        ]
        for number, name in enumerate(calls):
            one = Asker('entry', f'{now}-{number}')
            stated = terms(name, target_in=target)
            decision = decide(one, stated, FULL, contention, now)
            rejected[name] += isinstance(decision, Reject)
        expired = contention.queue.expired(now)
        in_vain.update(gone.terms.workspace for gone in expired)
        turn = give_turn(OPEN, contention.queue, now)
        if turn is not None:
            contention.queue.take(turn.asker, turn.ticket, now)
            target_at = turn.deadline_at - DEADLINE + target
            is_on_time = now + RUN_SECONDS <= target_at
            on_time[turn.terms.workspace] += is_on_time
    return on_time, rejected, in_vain


def test_one_workspace_cannot_crowd_out_another():
    """One workspace offers 250 calls a second of 100 that fit, another 20.

    The other one uses less than half of the service, its share, so its callers
    need to be served as if they were alone, less the wait for one place. The
    first one gets the rest, of which a fifth may go to returns and to calls
    that were predicted to be on time.
    """
    rates = {'hot': 250, 'small': 20}
    on_time, rejected, in_vain = offer(rates, target=0.4)
    assert not rejected['small']
    assert on_time['small'] >= 0.9 * 20 * 10
    assert on_time['hot'] >= 0.8 * 80 * 10
    assert in_vain.total() <= 0.1 * rejected.total()


def test_a_burst_is_not_late_as_a_whole():
    """All 16 workspaces offer twice what fits, one of them six times as much.

    Callers need some answers on time rather than all of them late.
    """
    rates = {f'w{number}': 10 for number in range(15)} | {'hot': 60}
    on_time, rejected, _ = offer(rates, target=0.6)
    assert on_time.total() >= 0.8 * RATE * 10
    assert min(on_time.values()) >= 0.75 * RATE * 10 / len(rates)
    assert rejected['hot'] > 0.5 * rejected.total()


def test_requests_are_sent_while_there_is_room():
    contention = Contention()
    for number in range(50):
        assert decide(asker(number), terms(), OPEN, contention, 0) == Send()
    assert not contention.queue
    assert not len(contention.returns)


def test_urgency_of_workspace_precedes_route():
    ranked = (0, 9), (None, 1), (1, 2), (2, 0), (None, 5)
    levels = [urgency(*pair) for pair in ranked]
    assert levels == sorted(levels)


@pytest.mark.parametrize(
    ('load', 'opened'),
    [
        (UpstreamLoad(16, 3, prefill_seconds=0.12), 1),
        (UpstreamLoad(16, 3, prefill_seconds=0.13), 0),
        (UpstreamLoad(16, 3, prefill_seconds=0.07, slowdown=2), 0),
        (UpstreamLoad(16, 16), 0),
    ],
)
def test_engine_is_open_while_prompts_are_on_time(load, opened):
    """A burst of long prompts waits at the home, where it can be ordered.

    The tightest route of 0.515 s needs three quarters of it for itself. Calls
    may fill all slots; more would wait, or be rejected, at their upstream.
    """
    assert openings(load, 0.515, reads_prompts=True) == opened
    unused = load.slots - load.running
    assert openings(load, 0.515, reads_prompts=False) == unused


@pytest.mark.parametrize(
    ('served', 'target', 'openings_left'),
    [(0, 0.3, 1), (40, 0.3, 4), (40, 0.1, 2), (400, 0.3, 4)],
)
def test_calls_wait_briefly_at_their_upstream(served, target, openings_left):
    """Short calls leave slots faster than entries report that.

    At 40 a second, three more wait for 75 ms, a quarter of a target of 0.3 s;
    no more than half of the slots, which upstreams don't reject.
    """
    load = UpstreamLoad(slots=6, running=5)
    assert openings_left == openings(
        load, target, reads_prompts=False, calls_per_second=served
    )


def test_hopeless_request_is_rejected_at_once():
    contention = Contention()
    fill(contention, int(RATE * DEADLINE), workspace='a')
    decision = decide(asker(), terms(), FULL, contention, 0)
    assert decision.reason is RejectReason.DEADLINE
    assert decision.retry_after >= DEADLINE - RUN_SECONDS
    other = decide(asker(), terms('b'), FULL, contention, 0)
    assert isinstance(other, Hold)


def test_held_request_keeps_its_place():
    contention = Contention()
    fill(contention, int(RATE), workspace='a', target_in=DEADLINE)
    slow = terms(target_in=DEADLINE)
    ticket = decide(asker(), slow, FULL, contention, 0).ticket
    for number in range(100):
        now = number / RATE
        left = terms(deadline_in=DEADLINE - now, ticket=ticket, waited=now)
        assert isinstance(decide(asker(), left, FULL, contention, now), Hold)
        contention.queue.next_turn(now)


def test_late_request_keeps_its_place():
    """Requests with later deadlines arrive while it waits.

    They are served after it, so they are no reason to reject it.
    """
    contention = Contention()
    queue = contention.queue
    held = queue.hold(asker(), terms(), 0, Rank.LATE)
    for number in range(1, 91):
        queue.hold(asker(number), terms(deadline_in=1.5), 1, Rank.LATE)
    again = terms(target_in=-0.5, deadline_in=1, waited=1, ticket=held.ticket)
    decision = decide(asker(), again, FULL, contention, 1)
    assert isinstance(decision, Hold)
    assert decision.ticket == held.ticket


def test_lost_upstreams_reject_held_requests():
    """A data centre's engines are reclaimed while requests are held."""
    contention = Contention()
    fill(contention, int(RATE), workspace='a')
    ticket = decide(asker(), terms(), FULL, contention, 0).ticket
    third = ServiceRoom(1, 3, 3, RATE / 3, RUN_SECONDS, 0)
    again = terms(ticket=ticket, waited=0.1)
    decision = decide(asker(), again, third, contention, 0.1)
    assert isinstance(decision, Reject)
    assert contention.queue.find(asker(), ticket) is None


def test_unknown_rate_holds_requests():
    contention = Contention()
    unknown = ServiceRoom(2, PLACES, PLACES, 0, RUN_SECONDS, 0)
    decision = decide(asker(), terms(), unknown, contention, 0)
    assert isinstance(decision, Hold)
    hopeless = terms(deadline_in=RUN_SECONDS)
    late = decide(asker(1), hopeless, unknown, contention, 0)
    assert late.retry_after == 1


def test_least_slack_that_can_be_met_goes_first():
    queue = HeldQueue(least_run=RUN_SECONDS)
    for number, target_in in enumerate((0.5, 0.3, 0.15)):
        queue.hold(asker(number), terms(target_in=target_in), 0)
    order = [turn.terms.target_in for turn in turns(queue, 0.1)]
    assert order == [0.3, 0.5, 0.15]


def test_new_home_keeps_the_order_by_slack():
    """Their entries ask anew, with tickets of the home before."""
    contention = Contention()
    fill(contention, 5, workspace='a')
    waited = terms(target_in=0.2, deadline_in=1.7, waited=0.3, ticket=3)
    ticket = decide(asker(), waited, FULL, contention, 0).ticket
    assert contention.queue.next_turn(0).ticket == ticket
    assert not contention.queue.take(asker(1), ticket, 0)


def test_turn_that_is_not_taken_is_free_again():
    """Its workspace is not charged for it."""
    contention = Contention()
    fill(contention, 2, workspace='a')
    fill(contention, 2, workspace='b')
    queue = contention.queue
    first = give_turn(OPEN, queue, 0)
    assert give_turn(OPEN, queue, 0.09) is None
    second = give_turn(OPEN, queue, TURN_SECONDS)
    assert second.ticket != first.ticket
    assert second.terms.workspace == first.terms.workspace
    assert not queue.take(first.asker, first.ticket, TURN_SECONDS)


def test_requests_of_a_lost_entry_are_dropped():
    queue = HeldQueue()
    for number in range(4):
        queue.hold(asker(number, f'entry-{number % 2}'), terms(), 0)
    queue.next_turn(0)
    queue.drop_entry('entry-0')
    assert (len(queue), queue.given) == (2, 0)
    assert not queue.withdraw(asker(3, 'entry-0'), 4)
    assert queue.withdraw(asker(3, 'entry-1'), 4)
    assert [turn.ticket for turn in turns(queue)] == [2]


def test_changed_weight_applies_at_once():
    """The configuration changes under contention."""
    queue = HeldQueue()
    for number in range(40):
        queue.hold(asker(number), terms('a', weight=1), 0)
        queue.hold(asker(number), terms('b', weight=1), 0)
    queue.hold(asker(40), terms('b', weight=3), 0)
    queue.hold(asker(41), terms('a', priority=0), 0)
    order = list(turns(queue))
    assert order[0].asker == asker(41)
    served = Counter(turn.terms.workspace for turn in order[1:41])
    assert served['b'] == 30


def test_idle_workspace_saves_up_no_share():
    queue = HeldQueue()
    for number in range(20):
        queue.hold(asker(number), terms('a'), 0)
    list(islice(turns(queue), 10))
    for another in range(10):
        queue.hold(asker(another), terms('b'), 0)
    served = [turn.terms.workspace for turn in islice(turns(queue), 10)]
    assert served.count('b') == 5


@pytest.mark.parametrize(
    ('weight', 'urgent', 'seconds'),
    [(1, 0, 0.4), (2, 0, 0.3), (1, 30, 0.7)],
)
def test_predicted_start_counts_what_goes_ahead(weight, urgent, seconds):
    """20 of the own workspace wait, 60 of another, and more urgent ones."""
    contention = Contention()
    queue = contention.queue
    fill(contention, 60)
    fill(contention, urgent, workspace='urgent', priority=0)
    fill(contention, 20, workspace='a', weight=weight)
    stated = terms('a', weight=weight, target_in=9, deadline_in=9)
    position = queue.next_position(stated, 0, Rank.ON_TIME)
    start = predict(queue, stated, FULL, 0, position).start
    assert start == pytest.approx(seconds + RUN_SECONDS / PLACES)
    queue.record_arrival(terms(priority=0, units=RATE / 2), 0)
    later = predict(queue, stated, FULL, 0, position).start
    assert later == pytest.approx(2 * seconds + RUN_SECONDS / PLACES)


flows = strategies.dictionaries(
    strategies.sampled_from(WORKSPACES),
    strategies.tuples(
        strategies.sampled_from((0.5, 1, 3)),
        strategies.lists(strategies.integers(1, 50), min_size=1, max_size=20),
    ),
    min_size=2,
)


@given(flows)
def test_work_is_shared_by_weight(rows):
    """In any span, two that wait differ by one request of each at most."""
    queue = HeldQueue()
    held = [
        terms(name, weight=weight, units=units)
        for name, (weight, requests) in rows.items()
        for units in requests
    ]
    for one in held:
        queue.hold(asker(), one, 0)
    left = Counter({name: len(row[1]) for name, row in rows.items()})
    largest = {
        name: max(requests) / weight
        for name, (weight, requests) in rows.items()
    }
    served = Counter()
    lowest = Counter()
    for turn in turns(queue):
        name = turn.terms.workspace
        served[name] += turn.terms.units / turn.terms.weight
        left -= Counter((name,))
        for first, second in permutations(left, 2):
            gap = served[first] - served[second]
            lowest[first, second] = min(lowest[first, second], gap)
            bound = largest[first] + largest[second] + 1e-9
            assert gap - lowest[first, second] <= bound


@given(strategies.lists(strategies.integers(0, 4), min_size=1, max_size=80))
def test_no_level_starves(priorities):
    """The most urgent level always has more waiting, n others get turns."""
    queue = HeldQueue()
    for priority in priorities:
        queue.hold(asker(), terms(priority=priority + 1), 0)
    left = Counter(one + 1 for one in priorities)
    waits = dict.fromkeys(left, 0)
    bound = TURNS_PER_YIELD * len(left)
    while left:
        queue.hold(asker(), terms(priority=0), 0)
        served = queue.next_turn(0).terms.priority
        waits = {level: waits[level] + 1 for level in left}
        assert max(waits.values()) <= bound
        waits[served] = 0
        if served:
            left -= Counter((served,))


def plan(planned, number, now, latest_in=10.0, units=2):
    backlog = Backlog('a', 55, 1.0, RATE)
    return planned.plan(f'request-{number}', backlog, units, latest_in, now)


def test_returns_fill_the_room_that_there_will_be():
    """After a burst of rejections neither all return at once nor too few."""
    planned = ReturnPlan()
    told = [plan(planned, number, 0) for number in range(100)]
    assert told == pytest.approx([1 + one * 2 / RATE for one in range(100)])


def test_returns_after_a_stall_are_soon():
    """All upstreams of a service stalled while a long request was rejected.

    Once they run again, callers of its workspace get places as before.
    """
    planned = ReturnPlan()
    stalled = Backlog('a', 55, 1.0, 0.01)
    planned.plan('request-0', stalled, 2000, 10.0, 0)
    assert plan(planned, 1, MAX_RETRY_AFTER) == 1
    assert planned.is_expected('request-1', MAX_RETRY_AFTER + 1)


def test_impatient_caller_takes_no_place():
    """It is told the truth, and who is rejected next gets the same time."""
    planned = ReturnPlan()
    assert plan(planned, 1, 0, latest_in=0.9) == plan(planned, 2, 0) == 1
    assert not planned.is_expected('request-1', 1)
    assert planned.is_expected('request-2', 1)


def test_return_as_told_precedes_newcomers():
    """Newcomers take three times the share of their workspace.

    A caller that waits as it was told to has to be served, or nobody would
    wait; one that asks earlier must not be better off.
    """
    contention = Contention()
    fill(contention, 70, workspace='a', target_in=1)
    contention.queue.record_arrival(terms('a', units=3 * RATE), 0)
    stated = terms(units=2, target_in=1, deadline_in=3)
    told = decide(asker(), stated, FULL, contention, 0).retry_after
    assert told < 1
    early = decide(asker(), stated, FULL, contention, 0.2)
    assert early == Reject(told - 0.2, RejectReason.EARLY_RETURN)
    newcomer = decide(asker(1), stated, FULL, contention, told)
    assert isinstance(newcomer, Reject)
    back = decide(asker(), stated, FULL, contention, told)
    assert contention.queue.next_turn(told).ticket == back.ticket


@pytest.mark.parametrize(('units', 'is_rejected'), [(1, False), (2, True)])
def test_equal_calls_are_not_early(units, is_rejected):
    """Many callers of a workspace ask for one page; one of them is rejected.

    The others have its identity, but were told nothing. A prompt names one
    request, whose caller was told.
    """
    contention = Contention()
    contention.returns.plan('request-0', Backlog('a', 55, 1, RATE), 1, 5, 0)
    decision = decide(asker(), terms(units=units), FULL, contention, 0.1)
    assert isinstance(decision, Reject) is is_rejected


def test_returns_that_are_remembered_are_bounded(monkeypatch):
    monkeypatch.setattr(f'{RETURNS}.MAX_RETURNS', 10)
    planned = ReturnPlan()
    for number in range(30):
        plan(planned, number, 0)
    assert len(planned) == 10
    assert planned.is_expected('request-29', plan(planned, 29, 0))
    plan(planned, 30, 60)
    assert len(planned) < 11


class AnyCourse(RuleBasedStateMachine):
    """Ask, take turns, withdraw and lose entries in any order."""

    workspaces = strategies.sampled_from(WORKSPACES)

    def __init__(self):
        """Start with a service that is full."""
        super().__init__()
        self.now = 0.0
        self.contention = Contention()
        self.numbers = count()
        self.waiting = {}
        self.free = 0
        self.sent = []

    def room(self):
        busy = PLACES - self.free
        return ServiceRoom(2, PLACES, busy, RATE, RUN_SECONDS, self.free)

    def ask(self, one, stated):
        queue = self.contention.queue
        is_idle = has_room(self.room(), queue) and not queue
        decision = decide(one, stated, self.room(), self.contention, self.now)
        if isinstance(decision, Send):
            assert self.free
            self.free -= 1
            self.sent.append(stated.ticket)
        elif isinstance(decision, Hold):
            assert 0 < decision.seconds <= stated.deadline_in - RUN_SECONDS
            self.waiting[decision.ticket] = (one, stated, self.now)
        else:
            assert decision.retry_after > 0
        if is_idle:
            assert isinstance(decision, Send)

    @rule(
        workspace=workspaces,
        priority=strategies.integers(0, 3),
        deadline_in=strategies.floats(0.1, 1),
    )
    def first_ask(self, workspace, priority, deadline_in):
        stated = terms(
            workspace,
            priority=priority,
            target_in=deadline_in / 2,
            deadline_in=deadline_in,
        )
        self.ask(asker(next(self.numbers)), stated)

    @rule(index=strategies.integers(0, 20))
    def ask_again(self, index):
        if not self.waiting:
            return
        ticket = list(self.waiting)[index % len(self.waiting)]
        one, stated, asked_at = self.waiting.pop(ticket)
        waited = self.now - asked_at
        again = replace(
            stated,
            target_in=stated.target_in - waited,
            deadline_in=stated.deadline_in - waited,
            waited=waited,
            ticket=ticket,
        )
        self.ask(one, again)

    @rule(number=strategies.integers(1, 3))
    def free_places(self, number):
        self.free = min(PLACES, self.free + number)
        queue = self.contention.queue
        while give_turn(self.room(), queue, self.now):
            assert queue.given <= self.free

    @rule(seconds=strategies.floats(0.001, 0.3))
    def pass_time(self, seconds):
        self.now += seconds
        for gone in self.contention.queue.expired(self.now):
            assert gone.deadline_at <= self.now + RUN_SECONDS

    @rule()
    def lose_entry(self):
        self.contention.queue.drop_entry('entry')
        self.waiting = {}

    @invariant()
    def no_ticket_is_served_twice(self):
        tickets = [ticket for ticket in self.sent if ticket]
        assert len(tickets) == len(set(tickets))

    @invariant()
    def sums_agree(self):
        queue = self.contention.queue
        levels = queue.order.levels.values()
        total = sum(level.backlog.units for level in levels)
        assert total == pytest.approx(len(queue))
        served = sum(level.backlog.served_beside(1e9) for level in levels)
        assert served == pytest.approx(total)


TestAnyCourse = AnyCourse.TestCase
TestAnyCourse.settings = settings(max_examples=60, deadline=None)


def test_held_requests_are_bounded(monkeypatch):
    """A workspace that floods the home leaves memory to the others."""
    monkeypatch.setattr(f'{HELD}.MAX_HELD', 30)
    monkeypatch.setattr(f'{HELD}.MAX_HELD_PER_WORKSPACE', 20)
    contention = Contention()
    slow = {'target_in': 50, 'deadline_in': 90}
    decisions = [
        decide(asker(number), terms(name, **slow), FULL, contention, 0)
        for number, name in enumerate('a' * 50 + 'b' * 5 + 'c' * 50)
    ]
    kept = [turn.terms.workspace for turn in turns(contention.queue)]
    assert Counter(kept) == {'a': 20, 'b': 5, 'c': 5}
    reasons = [one.reason for one in decisions if isinstance(one, Reject)]
    assert set(reasons) == {RejectReason.QUEUE_FULL}
