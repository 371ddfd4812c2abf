"""Keep what a held request was promised, or tell its caller soon.

A service of ten places does 100 calls a second. Entries ask again as they are
told to; times are virtual.
"""

import random
from dataclasses import dataclass, field, replace

import pytest
from spanfall_core.gateway.contention.admission import (
    Contention,
    Hold,
    Reject,
    Send,
    decide,
    give_turn,
)
from spanfall_core.gateway.contention.review import (
    BATCH_SECONDS,
    remove_hopeless,
)
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.waiting import Asker
from test_gateway_contention import (
    DEADLINE,
    FULL,
    OPEN,
    PLACES,
    RATE,
    RUN_SECONDS,
    asker,
    fill,
    terms,
)

#: Seconds within which it is noticed that a promise no longer holds: a caller
#: with a few seconds left still has most of them.
NOTICE_SECONDS = 0.3


@dataclass(slots=True)
class Load:
    """Let workspaces call at their rates; a place frees each tick."""

    calls: dict[str, tuple[float, dict]]
    #: What the upstreams take, while full and with one place free.
    full: ServiceRoom = FULL
    opened: ServiceRoom = OPEN
    contention: Contention = field(default_factory=Contention)
    #: Arrival and terms by identity, and when each held one asks again.
    asked: dict = field(default_factory=dict)
    again: dict = field(default_factory=dict)
    #: Seconds from their target until requests held in vain were told.
    in_vain: list[float] = field(default_factory=list)
    #: When each request was sent.
    served: dict = field(default_factory=dict)

    def run(self, seconds):
        rng = random.Random(1)
        for tick in range(int(seconds * RATE)):
            now = tick / RATE
            self.arrive(now, rng)
            due = [one for one, (_, at) in self.again.items() if at <= now]
            for one in due:
                self.ask(one, self.full, now)
            queue = self.contention.queue
            told = queue.expired(now)
            review = self.contention.review
            told += remove_hopeless(review, self.full, queue, now)
            turn = give_turn(self.opened, queue, now)
            told += [turn] if turn else []
            for held in told:
                self.ask(held.asker.identity, self.opened, now)

    def arrive(self, now, rng):
        for name, (rate, changed) in self.calls.items():
            for number in range(int(rate / RATE + rng.random())):
                identity = f'{name}-{now}-{number}'
                self.asked[identity] = now, terms(name, **changed)
                self.ask(identity, self.full, now)

    def ask(self, identity, room, now):
        began_at, stated = self.asked[identity]
        waited = now - began_at
        ticket, _ = self.again.pop(identity, (0, 0))
        left = replace(
            stated,
            target_in=stated.target_in - waited,
            deadline_in=stated.deadline_in - waited,
            waited=waited,
            ticket=ticket,
        )
        one = Asker('entry', identity)
        match decide(one, left, room, self.contention, now):
            case Hold(ticket=ticket, seconds=seconds):
                self.again[identity] = ticket, now + seconds
            case Reject(retry_after=seconds):
                self.reject(identity, left, seconds, now)
            case Send():
                self.served[identity] = now

    def reject(self, identity, left, seconds, now):
        if left.waited:
            self.in_vain.append(-left.target_in)


SLOW = {'target_in': 2, 'deadline_in': 6}
BRISK = {'target_in': 0.6, 'deadline_in': 4}


@pytest.mark.parametrize(
    'calls',
    [
        {'a': (60, SLOW), 'larger-share': (80, SLOW | {'weight': 4})},
        {'a': (150, BRISK)},
        {name: (27, BRISK) for name in 'abcd'} | {'other': (27, SLOW)},
    ],
)
def test_steady_overload_is_told_soon(calls):
    """Calls of a larger share, or of the own workspace, arrive meanwhile.

    Nearly all that are rejected are so at once, the others when they can't meet
    their target any more, and have most of their time left. All places are used.
    """
    load = Load(calls)
    load.run(10)
    assert max(load.in_vain, default=0) <= NOTICE_SECONDS
    assert len(load.in_vain) <= 0.1 * len(load.asked)
    assert len(load.served) >= 0.98 * 10 * RATE


def test_lost_upstreams_are_told_as_soon_as_known():
    """Nine of ten upstreams are reclaimed; no held request asks by itself."""
    contention = Contention()
    held = int(RATE)
    fill(contention, held, workspace='a')
    queue = contention.queue
    assert not remove_hopeless(contention.review, FULL, queue, 0)
    tenth = ServiceRoom(1, 1, 1, RATE / 10, RUN_SECONDS, 0)
    for step in range(1, round(NOTICE_SECONDS / BATCH_SECONDS)):
        now = step * BATCH_SECONDS
        remove_hopeless(contention.review, tenth, queue, now)
    # These are served at ten a second, before their deadline.
    assert len(queue) == pytest.approx(RATE / 10 * DEADLINE, abs=5)


def test_burst_that_is_over_is_served_late():
    """Thirty calls at once miss a target, but nobody asks after them.

    As few calls come, all can be served before their deadline.
    """
    contention = Contention()
    slow = ServiceRoom(2, PLACES, PLACES, RATE / 5, RUN_SECONDS, 0)
    for number in range(30):
        stated = terms(deadline_in=3)
        contention.queue.record_arrival(stated, 0)
        contention.queue.hold(asker(number), stated, 0)
    assert not remove_hopeless(contention.review, slow, contention.queue, 0.1)


def test_backoff_beyond_the_deadline_is_told():
    """All upstreams refuse for longer than the callers have left."""
    refusing = replace(FULL, opens_in=DEADLINE)
    decision = decide(asker(), terms(), refusing, Contention(), 0)
    assert isinstance(decision, Reject)
    assert decision.retry_after >= DEADLINE
    soon = replace(FULL, opens_in=0.1)
    assert isinstance(decide(asker(), terms(), soon, Contention(), 0), Hold)


def test_only_held_call_is_not_behind_itself():
    """It may miss its target; new calls would fill the share of its workspace.

    None of them waits, so it has the next turn.
    """
    contention = Contention()
    queue = contention.queue
    queue.hold(asker(), terms(target_in=RUN_SECONDS), 0)
    for step in range(1, 10):
        queue.record_arrival(terms(units=RATE), step / 20)
        assert not remove_hopeless(contention.review, FULL, queue, step / 20)
