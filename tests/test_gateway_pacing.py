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


def units_by_second(*, is_paced):
    """Let a workspace press for seven seconds; return its units by second."""
    fleet = Fleet(is_paced=is_paced)
    served = defaultdict(float)
    steps = range(round(ENDS_AT / STEP_SECONDS))
    for step, (number, key) in product(steps, enumerate(fleet.entries)):
        now = step * STEP_SECONDS
        asked = USUAL if now < PRESSES_AT else PRESSING
        units = asked * LIMIT.rate * STEP_SECONDS / ENTRIES
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
