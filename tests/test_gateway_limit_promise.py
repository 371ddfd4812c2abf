"""Hold what runs of a workspace to its limit, as seen from outside.

Seen: a workspace got 1.46 times its limit in the first seconds of traffic,
where 1.44 times is tolerated. Course: it sent several times its usual when
three of eight nodes were cut off, the home among them; the next home acted
two seconds later. Cause: units had two holders, and whoever held anything
began a request of any size: what was counted was not what ran. Proof: the
same course breaks the limit here, judged by sent and run alone; the home cut
off is what it takes: cuts without it did not do the same to real processes.
"""

from itertools import repeat
from random import Random

import pytest
import quota_events
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_nodes import LIMIT, WINDOW
from quota_traffic import (
    LARGEST_REQUEST_UNITS,
    Outcome,
    mixed_sizes,
    run_after_queueing,
    run_immediately,
)
from quota_world import SMALL_LIMIT, QuotaSimulation

ENTRIES = 8
NORMAL_DEMAND = SMALL_LIMIT.rate / 1.8
HIGH_DEMAND = NORMAL_DEMAND * 7.5


def small_simulation(seed=0, **fields):
    """Return a fleet before a workspace whose limit is few requests."""
    fields.setdefault('sizes', mixed_sizes(seed))
    return QuotaSimulation(
        entries=ENTRIES,
        demand=NORMAL_DEMAND,
        limit=SMALL_LIMIT,
        transit=2,
        seed=seed,
        **fields,
    )


def excess_by_seed(normal_seconds, earliest, latest, inject_fault):
    """Let pressure begin after a calm time, then something befall the fleet.

    Return by how much what is tolerated was passed, for each seed.
    """
    excess = []
    for seed in range(12):
        simulation = small_simulation(seed)
        simulation.run(normal_seconds)
        simulation.demand = HIGH_DEMAND
        simulation.run(Random(seed).uniform(earliest, latest))
        inject_fault(simulation)
        simulation.run(12)
        excess.append(simulation.max_excess)
    return excess


def test_a_home_cut_off_under_a_small_limit():
    """Both sides of the cut spend what they hold, and no more."""
    excess = excess_by_seed(
        2 * WINDOW, 0, 2, lambda simulation: simulation.cut(0, 1, 2)
    )
    assert max(excess) <= 0, excess


@pytest.mark.parametrize('before', [0.5, 0.9])
def test_large_requests_when_little_is_left(before):
    """All entries begin one of the largest requests at the same moment."""
    simulation = small_simulation(sizes=lambda: 1_000)
    simulation.run(2 * WINDOW)
    simulation.demand = HIGH_DEMAND
    simulation.run(WINDOW * before)
    simulation.sizes = lambda: LARGEST_REQUEST_UNITS
    simulation.demand = ENTRIES * LARGEST_REQUEST_UNITS * 20
    simulation.run(1)
    assert simulation.max_excess <= 0


def test_late_refusals_return_units():
    """Requests are refused long after they were admitted."""
    simulation = small_simulation(sizes=lambda: 10_000)
    simulation.run(2 * WINDOW)
    outcomes = repeat(Outcome(80, is_refused=True), 40)
    simulation.outcomes = lambda: next(outcomes, Outcome())
    simulation.demand = HIGH_DEMAND
    simulation.run(2 * WINDOW)
    assert simulation.max_excess <= 0


def test_all_nodes_killed_as_high_demand_begins():
    """The next home does not know what was spent in the last moment."""
    excess = excess_by_seed(
        3 * WINDOW,
        0.3,
        3,
        lambda simulation: simulation.kill(*range(ENTRIES)),
    )
    assert max(excess) <= 0, excess


def test_all_nodes_killed_after_a_sudden_burst():
    """Too little was spent to be recorded, all of it in the last moment."""
    simulation = small_simulation(sizes=lambda: 1_000)
    simulation.demand = 0
    simulation.run(2 * WINDOW)
    simulation.demand = SMALL_LIMIT.total * 0.45
    simulation.run(1)
    simulation.kill(*range(ENTRIES))
    simulation.demand = HIGH_DEMAND
    simulation.run(WINDOW)
    assert simulation.max_excess <= 0


@pytest.mark.parametrize('entries', [8, 10, 77])
@pytest.mark.parametrize('late', [0, 8, 16])
def test_two_restarts_of_all_with_late_records(entries, late):
    """Seen twice: 1 and 2 in 100 more than is tolerated ran in a window.

    Course: the store is back, a workspace presses, all nodes are killed, and
    four seconds later again. Cause: the record told what the home had heard to
    be spent, which is late by a report, a look and a write; what was spent
    since was known to nobody. Proof: where the record tells no more than that,
    the course of seed 3 passes the limit with records 0.8 s late.
    """
    seeds = 12 if entries < 77 else 2
    simulations = (
        simulate_two_restarts(seed, entries, late) for seed in range(seeds)
    )
    assert max(simulation.max_excess for simulation in simulations) <= 0


def simulate_two_restarts(seed, entries, late):
    """Play the course with moments drawn from a seed."""
    draw = Random(seed)
    simulation = QuotaSimulation(
        entries=entries,
        demand=LIMIT.rate / 1.8,
        sizes=mixed_sizes(seed),
        transit=2,
        seed=seed,
    )
    simulation.store.steps = late
    simulation.run(WINDOW + draw.uniform(0, 3))
    simulation.store_is_away = True
    simulation.run(draw.uniform(3, 4.5))
    simulation.store_is_away = False
    simulation.run(draw.uniform(0, 1.5))
    simulation.demand = LIMIT.rate / 1.8 * draw.uniform(4, 7.5)
    simulation.run(draw.uniform(0.2, 2))
    simulation.kill(*range(entries))
    simulation.run(draw.uniform(3.2, 4.8))
    simulation.kill(*range(entries))
    simulation.run(10)
    return simulation


def test_a_home_that_hands_over_under_high_demand():
    """Its units go on with their holders, and the next home hears of them."""

    def hand_over(simulation):
        simulation.hand_over(3)
        simulation.run(1.5)
        simulation.hand_over(5)

    excess = excess_by_seed(2 * WINDOW, 0, 2, hand_over)
    assert max(excess) <= 0, excess


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(sorted(quota_events.EVENTS)),
        st.sets(st.integers(0, ENTRIES - 1), min_size=1),
        st.floats(0.1, 5),
    ),
    min_size=1,
    max_size=9,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.booleans(), EVENTS)
def test_no_event_sequence_exceeds_the_limit(seed, is_queueing, events):
    """Cuts, kills, freezes, jams, changed limits, a lost store, any order."""
    outcomes = (
        run_after_queueing(seed, refused=0.3)
        if is_queueing
        else run_immediately()
    )
    simulation = small_simulation(seed, outcomes=outcomes)
    simulation.run(WINDOW)
    for name, node_numbers, seconds in events:
        quota_events.EVENTS[name](simulation, node_numbers)
        simulation.run(seconds)
    assert simulation.max_excess <= 0
