"""A workspace that presses against its limit gets its rate, not a burst."""

from collections import defaultdict
from itertools import product

import pytest
from spanfall_core.gateway.known.limits import Limit
from spanfall_core.gateway.limits.quota_allocator import QuotaAllocator
from spanfall_core.gateway.limits.quotas import Quotas

LIMIT = Limit(rate=1000, burst=1000, window=8)
LIMITS = {'w': LIMIT}
ENTRIES = 8
STEP_SECONDS = 0.05
#: Steps between two reports of an entry.
REPORT_STEPS = 5
#: Usual use of the rate, and that of a workspace with six times its callers.
USUAL, PRESSING = 0.55, 3.3
PRESSES_AT, ENDS_AT = 10.0, 17.0
#: Use of the rate by a workspace that is near its limit, and in short peaks.
BUSY, PEAK = 0.8, 1.7
PEAK_PERIOD, PEAK_SECONDS = 10.0, 2.0


class Fleet:
    """Hold a home and entries that share the limit of one workspace."""

    def __init__(self, *, is_paced):
        self.home = QuotaAllocator()
        self.home.set_paced(is_paced=is_paced)
        self.entries = {
            f'e-{number}/1': Quotas(ENTRIES) for number in range(ENTRIES)
        }

    def report(self, key, now):
        """Report to the home and apply what it allocates."""
        quotas = self.entries[key]
        report = quotas.report(LIMITS, now)
        self.home.apply_report(key, report, LIMITS, now)
        given = self.home.allocate(key, LIMITS, now)
        quotas.apply_given(given, report, LIMITS, now)

    def try_spend(self, key, units, now):
        """Spend units, which the home may lend."""
        quotas = self.entries[key]
        if quotas.try_spend('w', LIMIT, units, now):
            return True
        lent = self.home.lend(key, 'w', units, LIMITS, now)
        quotas.apply_lent('w', lent, now)
        return quotas.try_spend('w', LIMIT, units, now)


def pressing(now):
    """Return the use of the rate by a workspace that begins to press."""
    return USUAL if now < PRESSES_AT else PRESSING


def peaking(now):
    """Return the use of the rate by a workspace with short peaks."""
    is_peak = now % PEAK_PERIOD >= PEAK_PERIOD - PEAK_SECONDS
    return PEAK if is_peak else BUSY


def units_by_second(*, is_paced, use=pressing):
    """Return the units of a workspace by second, for a use of its rate."""
    fleet = Fleet(is_paced=is_paced)
    served = defaultdict(float)
    steps = range(round(ENDS_AT / STEP_SECONDS))
    for step, (number, key) in product(steps, enumerate(fleet.entries)):
        now = step * STEP_SECONDS
        units = use(now) * LIMIT.rate * STEP_SECONDS / ENTRIES
        if (step + number) % REPORT_STEPS == 0:
            fleet.report(key, now)
        if fleet.try_spend(key, units, now):
            served[int(now)] += units
    return served


def test_pressing_workspace_gets_its_rate():
    """Its callers are owed the rate of their limit in each second.

    Unpaced, the rest of the window is gone within two seconds, at three times
    the rate, and for seconds its callers get half of what they are owed.
    """
    paced = units_by_second(is_paced=True)
    unpaced = units_by_second(is_paced=False)
    later = range(int(PRESSES_AT) + 2, int(ENDS_AT))
    assert min(unpaced[second] for second in later) < 0.7 * LIMIT.rate
    assert min(paced[second] for second in later) >= 0.8 * LIMIT.rate
    assert max(paced[second] for second in later) <= 1.3 * LIMIT.rate


def test_usual_use_is_not_paced():
    served = units_by_second(is_paced=True)
    assert all(
        served[second] == pytest.approx(USUAL * LIMIT.rate, rel=0.02)
        for second in range(4, int(PRESSES_AT))
    )


def test_short_peaks_within_the_limit_are_served():
    """The window has room for them, so they are owed whole."""
    served = units_by_second(is_paced=True, use=peaking)
    unpaced = units_by_second(is_paced=False, use=peaking)
    assert served == unpaced
    assert served[9] == pytest.approx(PEAK * LIMIT.rate, rel=0.02)
