"""Count no entry as silent that reports as it was told, in any fleet.

The load is that of a fleet that serves: each entry has two requests running
and reports when its period has passed, late by up to half of it.
"""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from random import Random

import pytest
from spanfall_core.gateway.known.fleet import (
    MEETING_SECONDS,
    EntryReport,
    FleetState,
)
from spanfall_core.gateway.known.limits import Limit, Tolerance
from spanfall_core.gateway.known.reporting import (
    MOST_REPORTS,
    report_period,
    silent_after,
    unheard_after,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending
from spanfall_core.gateway.limits.shared_levels import QuotaAllocator
from spanfall_core.gateway.routing.grants import EntryLoad, GrantBook
from spanfall_node.gateway.store.sync import old_proof

SIZES = (8, 50, 77, 195, 231, 400, 600)
LIMITS = {'w': Limit(100_000, 100_000, 8)}
#: Part of its period by which a report may be late.
LATEST = 0.5


@dataclass
class Home:
    """Hold the tables of a home that entries report to."""

    size: int
    known_before: int
    draw: Random = field(default_factory=lambda: Random(7))

    def __post_init__(self):
        self.fleet = FleetState(
            expected=self.known_before,
            expected_until=MEETING_SECONDS,
        )
        self.levels = QuotaAllocator(Tolerance(0.1, 140_000))
        self.book = GrantBook()
        self.due = [
            (self.draw.uniform(0, 1), number) for number in range(self.size)
        ]
        heapify(self.due)
        self.reports = []

    def play(self, until):
        while self.due[0][0] < until:
            now, number = heappop(self.due)
            period = self._hear(number, now)
            late = self.draw.uniform(1, 1 + LATEST)
            heappush(self.due, (now + period * late, number))

    def _hear(self, number, now):
        report = EntryReport(f'n-{number}', '0', {'u-1': 2}, {'u-1': 100})
        self.reports.append(now)
        self.fleet.learn(report, now)
        period = self.fleet.period(now)
        self.levels.apply_report(
            report.key,
            EntrySpending({'w': 0.0}),
            LIMITS,
            now,
            silent_after(period),
        )
        load = EntryLoad(report.running, report.prefill)
        self.book.learn(report.key, load, now)
        self.book.expect(report.key, unheard_after(period))
        self.book.forget_silent(now)
        self.levels.allocate(report.key, LIMITS, now)
        return period


@pytest.mark.parametrize('size', SIZES)
def test_no_entry_that_reports_in_time_is_silent(size):
    home = Home(size, size)
    home.play(MEETING_SECONDS)
    for second in range(4, 20):
        home.play(second)
        assert home.fleet.size(second) == size
        assert home.fleet.running(second) == {'u-1': 2 * size}
        assert home.book.running['u-1'] == 2 * size
        use = home.levels.usage('w', LIMITS['w'], second)
        assert not use.silent_units


@pytest.mark.parametrize('size', SIZES)
def test_a_new_home_is_not_asked_more_often(size):
    home = Home(size, size)
    home.play(MEETING_SECONDS)
    most = max(MOST_REPORTS, size / report_period(size)) * MEETING_SECONDS
    assert len(home.reports) <= most + size


def test_an_entry_that_ends_is_found_silent():
    home = Home(231, 231)
    home.play(6)
    home.due = [row for row in home.due if row[1] >= 77]
    heapify(home.due)
    home.play(6 + 3 * report_period(231))
    now = 6 + 3 * report_period(231)
    assert home.fleet.size(now) == 154
    assert home.fleet.running(now) == {'u-1': 2 * 154}


def test_what_follows_from_the_period_follows_it():
    for entries in range(8, 601):
        period = report_period(entries)
        assert silent_after(period) >= 2 * period
        assert unheard_after(period) >= silent_after(period)
        assert old_proof(entries) > period
