"""Check that permits keep all entries within the limit of an upstream."""

from itertools import accumulate

import pytest
from hypothesis import given
from hypothesis import strategies as st
from named_limit_checker import WINDOW_SECONDS, allowed, max_in_window
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.limits.permits import (
    BURST,
    MAX_WAIT_SECONDS,
    MIN_RATE,
    Permits,
)

UPSTREAM = 'u-1'
#: Maximum seconds from a grant to its request's arrival: those of a connection.
MAX_DELAY = 0.4
RATES = st.sampled_from((0, 0.05, 0.3, 1, 4.2, 20, 300))
PAUSES = st.lists(st.floats(0.001, 3), min_size=1, max_size=60)


def acquire_permits(permits, times):
    """Return the times, out of those given, at which a caller gets a permit."""
    sent = []
    for now in times:
        if UPSTREAM not in permits.withheld(now):
            assert permits.acquire(UPSTREAM, now)
            sent.append(now)
    return sent


def frequent_times(seconds, begin=0, step=0.01):
    return [begin + number * step for number in range(int(seconds / step))]


def new_home(rate, now):
    permits = Permits()
    permits.set_rate(UPSTREAM, rate, now)
    return permits


@given(RATES, PAUSES, st.lists(st.floats(0, MAX_DELAY), min_size=1, max_size=9))
def test_successive_homes_stay_within_the_limit(rate, tenures, delays):
    """Each home starts without permits or the state of its predecessor."""
    arrivals = []
    ends = list(accumulate(tenures, initial=0))
    for begin, end in zip(ends, ends[1:], strict=False):
        times = frequent_times(end - begin, begin, step=0.05)
        sent = acquire_permits(new_home(rate, begin), times)
        arrivals.extend(
            at + delays[number % len(delays)] for number, at in enumerate(sent)
        )
    assert max_in_window(sorted(arrivals), 0) <= allowed(rate)


@given(RATES, st.lists(st.floats(0.5, 60), min_size=1, max_size=9))
def test_idle_time_accrues_only_a_small_burst(rate, idle_periods):
    """Requests that arrive at once after an idle period are limited too."""
    permits = new_home(rate, 0)
    sent = []
    now = 0
    for idle in idle_periods:
        now += idle
        sent.extend(acquire_permits(permits, frequent_times(1, now)))
        now += 1
    assert max_in_window(sent, 0) <= allowed(rate)


@pytest.mark.parametrize('rate', (0.3, 1, 4.2, 20))
def test_callers_get_the_full_rate(rate):
    seconds = 60
    sent = acquire_permits(new_home(rate, 0), frequent_times(seconds))
    assert len(sent) == pytest.approx(rate * seconds, abs=BURST)


@pytest.mark.parametrize('uptime', (0, 1e5, 1e7, 1e9))
def test_permits_are_given_at_any_uptime(uptime):
    """Permits become available although the clock's resolution is limited.

    At an uptime of 1e7 s, four months, the clock could not represent the time
    until the next permit, and a home checked for it in an endless loop.
    """
    rate = 300
    sent = acquire_permits(
        new_home(rate, uptime),
        frequent_times(5, uptime, 0.0007),
    )
    assert len(sent) == pytest.approx(rate * 5, rel=0.02)


def test_rate_zero_is_probed_rarely():
    """Only its next answer can show that it accepts requests again."""
    sent = acquire_permits(new_home(0, 0), frequent_times(100))
    assert len(sent) == pytest.approx(100 * MIN_RATE, abs=1)


@given(st.lists(RATES, min_size=2, max_size=20), st.floats(0.1, 2))
def test_a_changing_limit_is_enforced(rates, each):
    """The limit changes each second, also to below one in four seconds."""
    permits = Permits()
    sent = []
    for number, rate in enumerate(rates):
        begin = number * each
        permits.set_rate(UPSTREAM, rate, begin)
        sent.extend(
            acquire_permits(permits, frequent_times(each, begin, step=0.05)),
        )
        first = begin - WINDOW_SECONDS
        named = [
            known
            for at, known in enumerate(rates[: number + 1])
            if (at + 1) * each > first
        ]
        recent = [at for at in sent if at > first]
        assert len(recent) <= allowed(max(named))


def test_without_a_limit_no_permit_is_needed():
    permits = new_home(0, 0)
    assert permits.withheld(0) == {UPSTREAM}
    permits.set_rate(UPSTREAM, None, 1)
    assert not permits.withheld(1)
    assert not permits.acquire(UPSTREAM, 1)


def test_retries_are_spread_over_time():
    permits = Permits()
    rows = [
        ListedUpstream(f'u-{number}', 'llm', '', 'north', slots=4)
        for number in range(2)
    ]
    for row in rows:
        permits.set_rate(row.lifetime, 2, 0)
    waits = [permits.wait('llm', rows, 1) for _ in range(3)]
    assert waits == pytest.approx([0.25, 0.5, 0.75])
    most = max(permits.wait('llm', rows, 1) for _ in range(100))
    assert most == MAX_WAIT_SECONDS
    assert permits.wait('other', [], 1) == 0
