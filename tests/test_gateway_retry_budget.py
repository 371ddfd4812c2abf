"""Keep retries within the limit of the platform."""

from itertools import product

import pytest
from gateway_world import ask, in_world
from spanfall_core.gateway.known.spending import BUCKET_SECONDS
from spanfall_core.gateway.routing.allowance_share import AllowanceShare
from spanfall_core.gateway.routing.retry_budget import RetryBudget, RetryLimits
from spanfall_standins.gateway.upstream import refused
from support import wait_until

#: As in the deployments: a fifth of the requests plus 54 in any 10 s.
LIMITS = RetryLimits(ratio=0.2, allowance=54, window=10)
ENTRIES = 7
RELAY = 'spanfall_node.gateway.upstreams.relay'
#: Requests per second of all entries together.
RATE = 110


def settled_budget():
    """Return the budget of an entry that has long run beside the others."""
    share = AllowanceShare(LIMITS.window, 0, started_at=float('-inf'))
    share.tell(ENTRIES, float('inf'))
    return RetryBudget(LIMITS, share)


def try_spend(budget, service, now):
    """Send a retry at once, if it is allowed."""
    is_allowed = budget.try_reserve(service, now).is_allowed
    if is_allowed:
        budget.record_send(service, now)
    return is_allowed


def play(seconds, fails_from):
    """Send requests, each with three retries from ``fails_from`` on.

    Return the times of the allowed retries.
    """
    entries = [settled_budget() for _ in range(ENTRIES)]
    retries = []
    for number in range(seconds * RATE):
        now = number / RATE
        entry = entries[number % ENTRIES]
        entry.record_request('llm', now)
        attempts = range(3 if now >= fails_from else 0)
        retries.extend(now for _ in attempts if try_spend(entry, 'llm', now))
    return retries


def max_in_a_window(times):
    return max(
        sum(1 for at in times if first <= at < first + LIMITS.window)
        for first in times
    )


@pytest.mark.parametrize('fails_from', [1, 5, 20])
def test_total_refusal_stays_within_budget(fails_from):
    """Credit from a time without failures does not accumulate."""
    retries = play(35, fails_from)
    allowed = LIMITS.ratio * RATE * LIMITS.window + LIMITS.allowance
    assert max_in_a_window(retries) <= allowed
    assert len(retries) > 100


def count_allowed(budget, now):
    """Return how many of as many tries as there are entries may retry."""
    return sum(try_spend(budget, 'llm', now) for _ in range(ENTRIES))


def test_settled_entry_holds_its_share():
    """The first requests for a service may fail too."""
    assert count_allowed(settled_budget(), 0) == 5


def test_new_entry_holds_what_its_requests_earn():
    """The process before may have spent the share of this one."""
    budget = RetryBudget(LIMITS, AllowanceShare(LIMITS.window, 0))
    budget.share.tell(ENTRIES, 0)
    assert not count_allowed(budget, 0)
    for _ in range(15):
        budget.record_request('llm', 1)
    assert count_allowed(budget, 1) == 2


def test_services_have_separate_budgets():
    budget = settled_budget()
    spent = product(('llm', 'desk'), range(5))
    assert all(try_spend(budget, service, 0) for service, _ in spent)


def test_unused_budget_takes_bounded_memory():
    """Counts expire even if a service never spends from its budget."""
    budget = settled_budget()
    for second in range(1000):
        budget.record_request('llm', second / 2)
    kept = budget._sent['llm'].requests._buckets
    assert len(kept) <= LIMITS.window / BUCKET_SECONDS + 1


def test_retry_counts_when_it_is_sent():
    """A retry that waits for its turn arrives in a later window."""
    budget = settled_budget()
    for _ in range(5):
        assert budget.try_reserve('llm', 0).is_allowed
    assert not budget.try_reserve('llm', 9).is_allowed
    for _ in range(5):
        budget.record_send('llm', 9)
    assert not budget.try_reserve('llm', 18).is_allowed
    assert budget.try_reserve('llm', 20).is_allowed


def test_retry_that_is_not_sent_costs_nothing():
    budget = settled_budget()
    for _ in range(20):
        assert budget.try_reserve('llm', 0).is_allowed
        budget.release('llm')
    assert count_allowed(budget, 0) == 5


# Guards against requests that earn at one service what is spent at another.
@in_world
async def test_request_earns_where_it_is_sent(world):
    async def resume_elsewhere(state, origins, exchange):
        exchange.admitted.service = 'desk'

    state = await world.add_gateway()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(f'{RELAY}.resolve_origin', resume_elsewhere)
        await ask(state, '/resume/1')
    now = state.timers.now()
    assert state.retries.try_reserve('desk', now).requests == 1
    assert state.retries.try_reserve('sheets', now).requests == 0


# Guards against retries that are counted though no upstream got them.
@in_world
async def test_only_sent_retries_are_counted(world):
    refusing = await world.add_upstream(refused())
    gone = await world.add_upstream(refused())
    state = await world.add_gateway(retry_allowance=50)
    await wait_until(lambda: state.retries.share.part(state.timers.now()) > 0)
    gone.process_scope.cancel()
    for number in range(6):
        answer = await ask(state, '/any/1', attempt=f'a{number}')
        assert answer.status == 503
    assert len(refusing.received_requests) == 6
    assert not state.retries.recent_counts(state.timers.now())
    decision = state.retries.try_reserve('sheets', state.timers.now())
    assert decision.spent == 0
