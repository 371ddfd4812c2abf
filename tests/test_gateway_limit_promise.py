"""Check from outside that the requests of a workspace stay within its limit.

Guards against a workspace that got 1.46 times its limit in the first seconds
of traffic, where 1.44 times is tolerated. It sent several times its usual load
while three of eight nodes were cut off, the home among them, and the next home
acted two seconds later. Units had two holders, and an entry that held any
units started a request of any size, so the counted units were not those that
ran. Simulated, the same events exceeded the limit, by the times at which
requests were sent and ran. The home has to be among the nodes cut off: other
cuts did not reproduce it on real processes.
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
    """Return a fleet with a workspace whose limit is a few requests."""
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
    """Run normal demand, then high demand, then a fault, for each seed.

    Return the largest excess over limit and tolerance for each seed.
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
    """Each side of the cut spends only the units that it holds."""
    excess = excess_by_seed(
        2 * WINDOW,
        0,
        2,
        lambda simulation: simulation.cut(0, 1, 2),
    )
    assert max(excess) <= 0, excess


@pytest.mark.parametrize('before', [0.5, 0.9])
def test_large_requests_when_little_is_left(before):
    """All entries start one of the largest requests at the same time."""
    simulation = small_simulation(sizes=lambda: 1_000)
    simulation.run(2 * WINDOW)
    simulation.demand = HIGH_DEMAND
    simulation.run(WINDOW * before)
    simulation.sizes = lambda: LARGEST_REQUEST_UNITS
    simulation.demand = ENTRIES * LARGEST_REQUEST_UNITS * 20
    simulation.run(1)
    assert simulation.max_excess <= 0


def test_late_refusals_stay_within_the_limit():
    """Requests are refused long after their admission."""
    simulation = small_simulation(sizes=lambda: 10_000)
    simulation.run(2 * WINDOW)
    outcomes = repeat(Outcome(80, is_refused=True), 40)
    simulation.outcomes = lambda: next(outcomes, Outcome())
    simulation.demand = HIGH_DEMAND
    simulation.run(2 * WINDOW)
    assert simulation.max_excess <= 0


def test_all_nodes_killed_as_high_demand_begins():
    """The next home has no record of the latest spending."""
    excess = excess_by_seed(
        3 * WINDOW,
        0.3,
        3,
        lambda simulation: simulation.kill(*range(ENTRIES)),
    )
    assert max(excess) <= 0, excess


def test_all_nodes_killed_after_a_sudden_burst():
    """The spending is too small to be recorded, and all of it is recent."""
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
    """Records that arrive late cover the spending up to the restart.

    Guards against two observed cases in which 1 and 2 in 100 more units ran in
    a window than tolerated. The store becomes available again, a workspace is
    in high demand, and all nodes are killed, and again four seconds later. The
    record contained only the spending reported to the home, which is late by a
    report, a check and a write, so later spending was lost. With such records
    0.8 s late, seed 3 exceeds the limit.
    """
    seeds = 12 if entries < 77 else 2
    simulations = (
        simulate_two_restarts(seed, entries, late) for seed in range(seeds)
    )
    assert max(simulation.max_excess for simulation in simulations) <= 0


def simulate_two_restarts(seed, entries, late):
    """Run two restarts of all nodes at times drawn from a seed."""
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
    simulation.store_is_unavailable = True
    simulation.run(draw.uniform(3, 4.5))
    simulation.store_is_unavailable = False
    simulation.run(draw.uniform(0, 1.5))
    simulation.demand = LIMIT.rate / 1.8 * draw.uniform(4, 7.5)
    simulation.run(draw.uniform(0.2, 2))
    simulation.kill(*range(entries))
    simulation.run(draw.uniform(3.2, 4.8))
    simulation.kill(*range(entries))
    simulation.run(10)
    return simulation


def test_a_home_that_hands_over_under_high_demand():
    """Entries keep their units and report them to the next home."""

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
    """Cuts, kills, freezes, queues, changed limits, a lost store, any order."""
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
