"""Requests go where work takes least, also where upstreams differ in speed."""

from collections import Counter
from dataclasses import replace
from itertools import count

import pytest
from gateway_world import ask, in_world
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.stated_slowdowns import (
    MAX_FACTOR,
    MIN_FACTOR,
    StatedSlowdown,
)
from spanfall_core.gateway.known.upstream_speeds import (
    MAX_REPORTED_FACTORS,
    MAX_SAMPLES_PER_MESSAGE,
    SpeedSample,
    UpstreamSpeeds,
    effective_upstreams,
)
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.uneven_loads import UnevenLoads
from spanfall_node.gateway.upstreams.speeds import record_call
from spanfall_standins.gateway.upstream import complete_response

#: Speeds that the upstreams of one service have, as the duration of work.
DURATIONS = (0.6, 1.0, 1.6)
CALLS = 240
PERIOD = 0.02
#: Calls by which all nodes have heard of a slow upstream: several seconds of
#: them.
MAX_CALLS = 2000


def listed(size, slots=6):
    row = ListedUpstream('', 'app', '', 'z', slots=slots)
    return [replace(row, upstream_id=f'u-{number}') for number in range(size)]


def chosen_counts(rows, loads, in_flight, first=0):
    """Return where calls go while so many of them run."""
    counts, running = Counter(), []
    for number in range(first, first + CALLS):
        now = number * PERIOD
        call = RoutingRequest(f'a-{number}', 'z')
        lifetime = choose(rows, call, loads, PromptHistory(), now).upstream
        lifetime = lifetime.lifetime
        counts[lifetime] += 1
        loads.loads.begin(lifetime, 0)
        running.append(lifetime)
        if len(running) > in_flight:
            loads.loads.end(running.pop(0))
    return counts


@pytest.mark.parametrize('in_flight', [2, 10])
def test_upstreams_of_uneven_speed(in_flight):
    """Load: calls to three upstreams, whose work takes 0.6, 1 and 1.6."""
    rows, speeds = listed(3), UpstreamSpeeds()
    for number in range(CALLS):
        for upstream, duration in zip(rows, DURATIONS, strict=True):
            now = number * PERIOD
            speeds.record_duration('app', upstream.lifetime, duration, 1, now)
    factors = [speeds.factor(row.lifetime, now) for row in rows]
    assert factors[2] / factors[0] == pytest.approx(1.6 / 0.6, rel=0.2)
    counts = chosen_counts(rows, UnevenLoads(Loads(), speeds), in_flight)
    served = [counts[row.lifetime] for row in rows]
    assert served == sorted(served, reverse=True)
    assert served[0] > 1.5 * served[2]


def test_slow_service_is_no_slow_upstream():
    """Load: all upstreams became slower at once."""
    speeds = UpstreamSpeeds()
    for row in listed(3) * 100:
        speeds.record_duration('app', row.lifetime, 2, 1, 0)
    for row in listed(3):
        assert speeds.factor(row.lifetime, 0) == pytest.approx(1, abs=0.1)


def test_end_of_a_slowdown_is_tried():
    """Load: a neighbour slows one host for a while; then nothing is heard."""
    rows, speeds = listed(3), UpstreamSpeeds()
    for number in range(100):
        speeds.record_slowdown('app', 'u-0', 2.7, number * PERIOD)
    slow_at = 100 * PERIOD
    assert speeds.factor('u-0', slow_at) > 2
    loads = UnevenLoads(Loads(), speeds)
    first = chosen_counts(rows, loads, 2, first=100)['u-0']
    assert first < CALLS / 10
    later = chosen_counts(rows, loads, 2, first=2000)['u-0']
    assert later > CALLS / 5


def test_fast_change_of_a_host():
    """Load: a host whose speed changes many times a second.

    Work that starts at once meets the newest figure, later work the mean.
    """
    stated = StatedSlowdown()
    for number in range(400):
        stated.record(0.5 if number % 2 else 1.5, number * PERIOD)
    now = 399 * PERIOD
    assert stated.at(now) == pytest.approx(0.5)
    assert stated.at(now + 1) == pytest.approx(1, abs=0.1)
    assert stated.during(2, now) == pytest.approx(1, abs=0.1)


def test_stated_slowdown_is_not_learned_again():
    """Load: work takes twice as long exactly where that is stated."""
    speeds = UpstreamSpeeds()
    for number in range(200):
        now = number * PERIOD
        speeds.record_slowdown('app', 'u-0', 2, now)
        for lifetime, seconds in (('u-0', 0.2), ('u-1', 0.1)):
            usual = speeds.usual_seconds(lifetime, seconds, now)
            speeds.record_duration('app', lifetime, usual, 0.1, now)
    assert speeds.factor('u-0', now) == pytest.approx(2, rel=0.1)


@pytest.mark.parametrize('figure', [1e6, 1e-6, float('nan'), float('inf'), -1])
def test_one_odd_figure_empties_no_upstream(figure):
    """Load: one upstream states one figure that cannot be."""
    rows, speeds = listed(3), UpstreamSpeeds()
    speeds.record_slowdown('app', 'u-0', figure, 0)
    assert MIN_FACTOR <= speeds.factor('u-0', 0) <= MAX_FACTOR
    counts = chosen_counts(rows, UnevenLoads(Loads(), speeds), 6)
    assert min(counts[row.lifetime] for row in rows) > CALLS / 9


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 80),
    st.lists(st.tuples(st.integers(0, 79), st.integers(0, 9000)), max_size=90),
    st.integers(0, 20_000),
)
def test_equal_speeds_change_no_choice(size, sends, tokens):
    """Load: any; the part is off, or on with nothing known of any upstream."""
    rows, loads = listed(size), Loads()
    for index, prefill in sends:
        loads.begin(rows[index % size].lifetime, prefill)
    request = RoutingRequest('a', 'z', (), tokens)
    uneven = UnevenLoads(loads, UpstreamSpeeds())
    choices = [
        choose(rows, request, known, PromptHistory(), 1)
        for known in (loads, uneven)
    ]
    assert choices[0] == choices[1]


@given(*[st.floats() for _ in range(4)])
def test_any_sample_is_merged_within_bounds(slowdown, age, samples, log_sum):
    speeds = UpstreamSpeeds()
    speeds.merge('app', SpeedSample('u', slowdown, age, samples, log_sum), 5)
    speeds.record_duration('app', 'v', 1, 1, 5)
    for lifetime in ('u', 'v'):
        assert MIN_FACTOR <= speeds.factor(lifetime, 6) <= MAX_FACTOR


def test_samples_and_factors_are_bounded():
    """Load: more upstreams than fit into one message, each heard often."""
    entry, home = UpstreamSpeeds(), UpstreamSpeeds()
    rows = listed(2 * MAX_REPORTED_FACTORS)
    for row in rows:
        entry.record_slowdown('app', row.lifetime, 3, 0)
    sent = []
    while samples := entry.take_samples(0.1):
        assert len(samples) <= MAX_SAMPLES_PER_MESSAGE
        sent.extend(samples)
    assert [sample.lifetime for sample in sent] == [
        row.lifetime for row in rows
    ]
    for sample in sent:
        home.merge('app', sample, 0.1)
    factors = home.factors_to_report(0.2)
    assert len(factors) == MAX_REPORTED_FACTORS
    alone = UpstreamSpeeds()
    alone.apply_reported(factors, 0.3)
    lifetime = next(iter(factors))
    assert alone.factor(lifetime, 0.4) == pytest.approx(factors[lifetime])
    assert alone.factor(lifetime, 60) == 1


def test_new_home_hears_all_again():
    speeds = UpstreamSpeeds()
    speeds.record_duration('app', 'u', 2, 1, 0)
    speeds.send_again(1)
    assert speeds.take_samples(0)
    speeds.send_again(1)
    assert not speeds.take_samples(0)
    speeds.send_again(2)
    assert speeds.take_samples(0)[0].count == 1


def test_ended_lifetime_is_forgotten():
    speeds = UpstreamSpeeds()
    speeds.merge('app', SpeedSample('u', 3, 0, 50, 50), 0)
    assert effective_upstreams(['u', 'v'], speeds, 0) < 2
    speeds.forget('u')
    assert speeds.factor('u', 0) == 1
    assert not speeds.take_samples(0)


def test_new_upstreams_are_heard_whatever_ended(monkeypatch):
    """Load: more lifetimes than are kept, as upstreams come and go."""
    kept = 'spanfall_core.gateway.known.upstream_speeds.MAX_LIFETIMES'
    monkeypatch.setattr(kept, 2)
    speeds = UpstreamSpeeds()
    for row in listed(4):
        speeds.record_slowdown('app', row.lifetime, 4, 0)
    assert [speeds.factor(row.lifetime, 0) > 1 for row in listed(4)] == [
        False,
        False,
        True,
        True,
    ]


def test_upstream_that_changes_its_service():
    speeds = UpstreamSpeeds()
    for service in ('app', 'other'):
        speeds.record_duration(service, 'u', 2, 1, 0)
    speeds.forget('u')
    assert speeds.factor('u', 0) == 1


@in_world
async def test_work_that_outlives_its_upstream(world):
    """An upstream ends while a call runs there; its answer still arrives."""
    state = await world.add_gateway()
    state.scheduling.add_shared_host_services(['app'])
    gone = listed(1)[0]
    record_call(state, gone, 'any', 0.2)
    assert not state.upstream_speeds.take_samples(state.timers.now())


@in_world
async def test_work_that_queued_tells_no_speed(world):
    """Load: more calls than slots; those that wait take longer anywhere."""
    state = await world.add_gateway()
    state.scheduling.add_shared_host_services(['app'])
    full = listed(1, slots=1)[0]
    state.directory.rows[full.lifetime] = full
    for expected in (1, 0):
        state.loads.begin(full.lifetime, 0)
        record_call(state, full, 'any', 0.2)
        samples = state.upstream_speeds.take_samples(state.timers.now())
        assert len(samples) == expected


@in_world
async def test_slow_upstream_gets_less(world):
    """Load: calls at two entries; one upstream states that its host is slow.

    The third entry heard no answer. It knows from the home's table.
    """
    upstreams = [await world.add_upstream(complete_response()) for _ in '123']
    slow = upstreams[0]
    slow.statement_headers = {'load': '1/0/4/3'}
    for usual in upstreams[1:]:
        usual.statement_headers = {'load': '1/0/4/1'}
    *asking, idle = [await world.add_gateway() for _ in range(3)]

    def factor_at_idle():
        now = idle.timers.now()
        return idle.upstream_speeds.factor(slow.lifetime, now)

    numbers = count()
    while factor_at_idle() <= 1:
        number = next(numbers)
        assert number < MAX_CALLS, 'the idle entry never learns of it'
        await ask(asking[number % 2], '/any/1', attempt=f'w-{number}')
    for number in range(60):
        await ask(asking[number % 2], '/any/1', attempt=f'c-{number}')
    slow_calls, *others = [len(one.received_requests) for one in upstreams]
    assert slow_calls < min(others) / 2
