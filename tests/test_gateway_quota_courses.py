"""Check that a large workspace stays within its limit despite faults."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_world import LIMIT, MAX_UNITS, REQUEST_UNITS, WINDOW, QuotaSimulation

#: Seconds after which no spending before the start is assumed any more.
STARTUP_SECONDS = 2 * WINDOW
#: Units a second of a workspace that sends 7.5 times its usual load, where the
#: limit is 1.8 times the usual load, as in the customers' fault scenarios.
HIGH_DEMAND = LIMIT.rate * 7.5 / 1.8


def test_a_home_cut_off_under_high_demand():
    """Each side of the cut spends only the units that it holds."""
    simulation = QuotaSimulation(entries=7, demand=HIGH_DEMAND)
    simulation.run(STARTUP_SECONDS)
    simulation.demand = HIGH_DEMAND
    simulation.run(1)
    simulation.cut(0)
    simulation.run(12)
    simulation.heal()
    simulation.run(WINDOW)
    assert simulation.max_units_run <= MAX_UNITS


def test_a_home_cut_off_as_high_demand_begins():
    """The units left at the cut are not allocated on both sides."""
    simulation = QuotaSimulation(entries=7, demand=LIMIT.rate / 1.8)
    simulation.run(STARTUP_SECONDS)
    simulation.demand = HIGH_DEMAND
    simulation.cut(0)
    simulation.run(WINDOW)
    assert simulation.max_units_run <= MAX_UNITS


@pytest.mark.parametrize('lost', [(0,), (1,), (0, 3)])
def test_usual_traffic_is_served_with_nodes_away(lost):
    """With limits of 1.8 times the usual load, faults refuse few requests."""
    simulation = QuotaSimulation(entries=7, demand=LIMIT.rate / 1.8)
    simulation.run(STARTUP_SECONDS * 2)
    simulation.refused = 0
    served = simulation.demand * 12 / REQUEST_UNITS
    simulation.cut(*lost)
    simulation.run(6)
    simulation.heal()
    simulation.run(3)
    simulation.kill(*lost)
    simulation.run(3)
    assert simulation.refused <= served * 0.02


@pytest.mark.parametrize('entries', [7, 77])
def test_many_busy_entries_stay_within_the_limit(entries):
    """Entries in high demand use the limit and do not exceed it."""
    simulation = QuotaSimulation(entries=entries, demand=LIMIT.rate / 1.8)
    simulation.run(STARTUP_SECONDS)
    simulation.demand = HIGH_DEMAND
    simulation.run(WINDOW * 3)
    assert simulation.max_units_run <= MAX_UNITS
    ran = sum(
        run.units for run in simulation.runs if run.ran_at > STARTUP_SECONDS
    )
    assert ran >= LIMIT.total * 3 * 0.95


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('cut', 'kill', 'heal', 'press', 'calm')),
        st.sets(st.integers(0, 6), min_size=1, max_size=4),
        st.floats(0.1, 5),
    ),
    min_size=1,
    max_size=7,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(EVENTS)
def test_no_cuts_or_kills_exceed_the_limit(events):
    """Cuts, kills and high demand in any order, also at the home."""
    simulation = QuotaSimulation(entries=7, demand=LIMIT.rate / 1.8)
    simulation.run(WINDOW)
    for name, node_numbers, seconds in events:
        if name == 'press':
            simulation.demand = HIGH_DEMAND
        elif name == 'calm':
            simulation.demand = LIMIT.rate / 1.8
        elif name == 'heal':
            simulation.heal()
        else:
            getattr(simulation, name)(*node_numbers)
        simulation.run(seconds)
    assert simulation.max_units_run <= MAX_UNITS
