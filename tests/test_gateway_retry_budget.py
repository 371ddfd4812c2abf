"""Keep what is sent again inside what the platform allows."""

from itertools import product

import pytest
from spanfall_core.gateway.known.spending import BUCKET_SECONDS
from spanfall_core.gateway.routing.retry_budget import RetryBudget, RetryLimits

#: As of the deployments: a fifth of the requests, and 54 in any 10 s.
LIMITS = RetryLimits(ratio=0.2, allowance=54, window=10)
ENTRIES = 7
#: Requests a second of all entries together.
RATE = 110


def play(seconds, fails_from):
    """Send requests; from a moment on, each is to be sent again three times.

    Return the retries that were allowed, by their time.
    """
    entries = [RetryBudget(LIMITS, ENTRIES) for _ in range(ENTRIES)]
    retries = []
    for number in range(seconds * RATE):
        now = number / RATE
        entry = entries[number % ENTRIES]
        entry.earn('llm', now)
        attempts = range(3 if now >= fails_from else 0)
        retries.extend(now for _ in attempts if entry.try_spend('llm', now))
    return retries


def most_in_a_window(times):
    return max(
        sum(1 for at in times if first <= at < first + LIMITS.window)
        for first in times
    )


@pytest.mark.parametrize('fails_from', [1, 5, 20])
def test_all_upstreams_refuse_after_a_calm_time(fails_from):
    """Credit of a calm time is not saved for the storm."""
    retries = play(35, fails_from)
    allowed = LIMITS.ratio * RATE * LIMITS.window + LIMITS.allowance
    assert most_in_a_window(retries) <= allowed
    assert len(retries) > 100


def test_an_entry_has_some_credit_at_once():
    """The first requests of a process may fail too."""
    budget = RetryBudget(LIMITS, ENTRIES)
    allowed = [budget.try_spend('llm', 0) for _ in range(ENTRIES)]
    assert sum(allowed) == 5


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(LIMITS, ENTRIES)
    spent = product(('llm', 'desk'), range(5))
    assert all(budget.try_spend(service, 0) for service, _ in spent)


def test_requests_never_retried_take_no_room():
    """Nothing asks for the sum of a service whose sends all succeed."""
    budget = RetryBudget(LIMITS, ENTRIES)
    for second in range(1000):
        budget.earn('llm', second / 2)
    kept = budget._sent['llm'].first._buckets
    assert len(kept) <= LIMITS.window / BUCKET_SECONDS + 1
