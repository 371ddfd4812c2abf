"""Test that entries that report on schedule stay live in any fleet.

Each entry has two requests running, and reports after its period, late by up
to half of it.
"""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from random import Random

import pytest
from spanfall_core.gateway.known.fleet import (
    ASSUMED_SIZE_SECONDS,
    EntryReport,
    FleetState,
)
from spanfall_core.gateway.known.limits import Limit, Tolerance
from spanfall_core.gateway.known.reporting import (
    MAX_REPORTS_PER_SECOND,
    load_expires_after,
    report_period,
    silent_after,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending
from spanfall_core.gateway.limits.quota_allocator import QuotaAllocator
from spanfall_core.gateway.routing.grants import EntryLoad, GrantBook
from spanfall_node.gateway.store.sync import max_confirmation_age

SIZES = (8, 50, 77, 195, 231, 400, 600)
LIMITS = {'w': Limit(100_000, 100_000, 8)}
#: Maximum delay of a report, as a fraction of the period.
MAX_LATENESS = 0.5


@dataclass
class Home:
    """Hold the tables of a home that receives reports from entries."""

    size: int
    known_before: int
    random: Random = field(default_factory=lambda: Random(7))

    def __post_init__(self):
        self.fleet = FleetState(
            assumed_entries=self.known_before,
            assumed_until=ASSUMED_SIZE_SECONDS,
        )
        self.levels = QuotaAllocator(Tolerance(0.1, 140_000))
        self.book = GrantBook()
        self.due = [
            (self.random.uniform(0, 1), number) for number in range(self.size)
        ]
        heapify(self.due)
        self.reports = []

    def run_until(self, until):
        while self.due[0][0] < until:
            now, number = heappop(self.due)
            period = self._receive_report(number, now)
            late = self.random.uniform(1, 1 + MAX_LATENESS)
            heappush(self.due, (now + period * late, number))

    def _receive_report(self, number, now):
        report = EntryReport(f'n-{number}', '0', {'u-1': 2}, {'u-1': 100})
        self.reports.append(now)
        self.fleet.apply_report(report, now)
        period = self.fleet.period(now)
        self.levels.apply_report(
            report.key,
            EntrySpending({'w': 0.0}),
            LIMITS,
            now,
            silent_after(period),
        )
        load = EntryLoad(report.running, report.prefill)
        self.book.apply_report(report.key, load, now)
        self.book.set_load_expiry(report.key, load_expires_after(period))
        self.book.drop_silent_entries(now)
        self.levels.allocate(report.key, LIMITS, now)
        return period


@pytest.mark.parametrize('size', SIZES)
def test_punctual_entries_stay_live(size):
    home = Home(size, size)
    home.run_until(ASSUMED_SIZE_SECONDS)
    for second in range(4, 20):
        home.run_until(second)
        assert home.fleet.size(second) == size
        assert home.fleet.running(second) == {'u-1': 2 * size}
        assert home.book.running['u-1'] == 2 * size
        use = home.levels.usage('w', LIMITS['w'], second)
        assert not use.silent_units


@pytest.mark.parametrize('size', SIZES)
def test_new_home_receives_bounded_report_rate(size):
    home = Home(size, size)
    home.run_until(ASSUMED_SIZE_SECONDS)
    most = (
        max(MAX_REPORTS_PER_SECOND, size / report_period(size))
        * ASSUMED_SIZE_SECONDS
    )
    assert len(home.reports) <= most + size


def test_entries_that_stop_reporting_expire():
    home = Home(231, 231)
    home.run_until(6)
    home.due = [row for row in home.due if row[1] >= 77]
    heapify(home.due)
    home.run_until(6 + 3 * report_period(231))
    now = 6 + 3 * report_period(231)
    assert home.fleet.size(now) == 154
    assert home.fleet.running(now) == {'u-1': 2 * 154}


def test_timeouts_follow_report_period():
    for entries in range(8, 601):
        period = report_period(entries)
        assert silent_after(period) >= 2 * period
        assert load_expires_after(period) >= silent_after(period)
        assert max_confirmation_age(entries) > period
