"""Find the request that crashes upstreams among those that run beside it.

The simulated fleet has one request that crashes its upstreams, and upstreams
that end for other reasons. The table only gets the sends that broke.
"""

from dataclasses import dataclass, field
from random import Random

import pytest
from crash_evidence import ended
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.crashes.crashes import (
    QUARANTINE_SECONDS,
    CrashTable,
)
from spanfall_core.gateway.crashes.evidence_table import MAX_TRACKED_TRAITS
from spanfall_core.gateway.crashes.judgement import QUARANTINE_THRESHOLD
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.crashes.trials import MAX_TRIAL_SECONDS, Trials
from spanfall_core.gateway.crashes.verdicts import MAX_QUARANTINED

#: Seconds per step, and steps per run; the cause crashes its upstream after the
#: first step.
STEP = 0.1
RUN_STEPS = 8
UPSTREAMS = 5
CAUSE = 'cause'


@dataclass
class Fleet:
    """Simulate requests that run on a fleet of upstreams."""

    rng: Random
    table: CrashTable = field(default_factory=CrashTable)
    trials: Trials = field(default_factory=Trials)
    now: float = 0
    born: int = UPSTREAMS
    alive: list[str] = field(default_factory=list)
    #: Upstream and remaining steps of each run.
    runs: dict[str, tuple[str, int]] = field(default_factory=dict)
    waiting: list[str] = field(default_factory=list)
    ended_by_cause: int = 0

    def __post_init__(self):
        self.alive = [f'u-{number}' for number in range(UPSTREAMS)]

    def step(self):
        """Send the waiting requests that may be sent; advance by one step."""
        self.now += STEP
        for name in list(self.waiting):
            self.send(name)
        for name, (upstream, left) in list(self.runs.items()):
            if name not in self.runs:
                continue
            if name == CAUSE:
                self.ended_by_cause += 1
                self.end(upstream)
            elif left:
                self.runs[name] = (upstream, left - 1)
            else:
                self.runs.pop(name)
                self.table.clear_request(name)
                self.trials.end(name, self.now)

    def send(self, name):
        """Send a request if its standing allows it."""
        standing = self.table.standing((name,), self.now)
        if standing is Standing.QUARANTINED:
            self.waiting.remove(name)
            return
        if standing is Standing.SUSPECT:
            if not self.trials.try_begin('s', name, self.now):
                return
        self.waiting.remove(name)
        self.runs[name] = (self.rng.choice(self.alive), RUN_STEPS)

    def end(self, upstream):
        """End an upstream; the requests that it runs fail and are retried."""
        self.alive.remove(upstream)
        self.alive.append(f'u-{self.born}')
        self.born += 1
        broken = [key for key, run in self.runs.items() if run[0] == upstream]
        self.rng.shuffle(broken)
        for name in broken:
            self.runs.pop(name)
            self.trials.end(name, self.now)
            self.table.record(ended(name, upstream), self.now)
            self.waiting.append(name)


def play(seed, cause_at, waves):
    """Simulate a fleet; return it after all requests have ended."""
    fleet = Fleet(Random(seed))
    for step in range(400):
        if step < 200:
            fleet.waiting.append(f'r-{step}')
        if step in cause_at:
            fleet.waiting.append(CAUSE)
        if step in waves:
            for upstream in fleet.rng.sample(fleet.alive, 3):
                fleet.end(upstream)
        fleet.step()
    return fleet


@given(st.integers(0, 2**32), st.sets(st.integers(0, 150), max_size=6))
@settings(max_examples=150, deadline=None)
def test_only_the_cause_is_quarantined(seed, cause_at):
    fleet = play(seed, {*cause_at, 60}, set())
    assert list(fleet.table.verdicts.rows) == [CAUSE]
    assert fleet.ended_by_cause == QUARANTINE_THRESHOLD
    assert not fleet.waiting
    assert not fleet.runs


@given(st.integers(0, 2**32), st.integers(0, 20))
@settings(max_examples=150, deadline=None)
def test_reclaimed_upstreams_cause_no_quarantine(seed, first):
    """Three of five upstreams are reclaimed at once, repeatedly."""
    gap = 4 * RUN_STEPS
    waves = set(range(first, 200, gap))
    fleet = play(seed, set(), waves)
    assert not fleet.table.verdicts
    assert not fleet.waiting
    assert not fleet.runs


def test_explained_crash_counts_only_once():
    table = CrashTable()
    for number in range(QUARANTINE_THRESHOLD):
        table.record(ended('beside', f'u-{number}'), 0)
        if number == 1:
            table.clear_request('beside')
        table.record(ended(CAUSE, f'u-{number}'), 0)
    table.record(ended('told late', 'u-2'), 0)
    assert table.standing(('beside',), 0) is Standing.FREE
    assert table.standing(('told late',), 0) is Standing.FREE


@pytest.mark.parametrize('ends', (1, 2))
def test_complete_answer_clears_a_request(ends):
    table = CrashTable()
    for number in range(ends):
        table.record(ended('r', f'u-{number}'), 0)
    assert table.standing(('r',), 0) is not Standing.FREE
    table.clear_request('r')
    assert table.standing(('r',), 0) is Standing.FREE


def test_many_requests_evict_no_suspect():
    table = CrashTable()
    table.record(ended('suspect', 'u-0'), 0)
    table.record(ended('suspect', 'u-1'), 0)
    for number in range(MAX_TRACKED_TRAITS + 10):
        table.record(ended(f'r-{number}', f'u-{number}'), 0)
    assert len(table.evidence.rows) <= MAX_TRACKED_TRAITS
    assert table.standing(('suspect',), 0) is Standing.SUSPECT


def test_quarantines_are_bounded():
    table = CrashTable()
    for number in range(MAX_QUARANTINED + 10):
        table.quarantine({f'r-{number}'}, 1)
    assert len(table.verdicts.rows) == MAX_QUARANTINED
    assert table.standing((f'r-{MAX_QUARANTINED}',), 0) is Standing.QUARANTINED


def test_unfinished_trial_times_out():
    trials = Trials()
    assert trials.try_begin('s', 'a', 0)
    assert not trials.try_begin('s', 'b', MAX_TRIAL_SECONDS / 2)
    assert trials.try_begin('other', 'c', MAX_TRIAL_SECONDS / 2)
    assert trials.try_begin('s', 'b', MAX_TRIAL_SECONDS)


def test_quarantine_expires_after_its_time():
    table = CrashTable()
    for number in range(QUARANTINE_THRESHOLD):
        table.record(ended(CAUSE, f'u-{number}'), 5)
    assert table.standing((CAUSE,), QUARANTINE_SECONDS) is Standing.QUARANTINED
    assert table.standing((CAUSE,), QUARANTINE_SECONDS + 5) is Standing.FREE
