"""Keep a large workspace inside its limit through cuts and kills."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_world import LIMIT, MOST, REQUEST, WINDOW, QuotaWorld

#: Seconds after which nothing is assumed about the time before the start.
START = 2 * WINDOW
#: Units a second of a workspace that sends 7.5 times its usual where limits
#: are 1.8 times the usual, as the users' disturbances say.
PRESSING = LIMIT.rate * 7.5 / 1.8


def test_a_home_cut_off_under_pressure():
    """Both sides of the cut spend what they hold, and no more."""
    world = QuotaWorld(entries=7, demand=PRESSING)
    world.run(START)
    world.demand = PRESSING
    world.run(1)
    world.cut(0)
    world.run(12)
    world.heal()
    world.run(WINDOW)
    assert world.most_ran <= MOST


def test_a_home_cut_off_as_pressure_begins():
    """What is left when the cut comes is not given out on both sides."""
    world = QuotaWorld(entries=7, demand=LIMIT.rate / 1.8)
    world.run(START)
    world.demand = PRESSING
    world.cut(0)
    world.run(WINDOW)
    assert world.most_ran <= MOST


@pytest.mark.parametrize('lost', [(0,), (1,), (0, 3)])
def test_usual_traffic_is_served_with_nodes_away(lost):
    """Limits are 1.8 times the usual: a cut or a kill refuses next to none."""
    world = QuotaWorld(entries=7, demand=LIMIT.rate / 1.8)
    world.run(START * 2)
    world.refused = 0
    served = world.demand * 12 / REQUEST
    world.cut(*lost)
    world.run(6)
    world.heal()
    world.run(3)
    world.kill(*lost)
    world.run(3)
    assert world.refused <= served * 0.02


@pytest.mark.parametrize('entries', [7, 77])
def test_many_entries_that_press_stay_inside(entries):
    """Each entry may begin one request with whatever it holds."""
    world = QuotaWorld(entries=entries, demand=LIMIT.rate / 1.8)
    world.run(START)
    world.demand = PRESSING
    world.run(WINDOW * 3)
    assert world.most_ran <= MOST
    ran = sum(run.units for run in world.runs if run.ran_at > START)
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
def test_no_cuts_and_kills_pass_the_limit(events):
    """Cuts, kills and presses in any order, among them of the home."""
    world = QuotaWorld(entries=7, demand=LIMIT.rate / 1.8)
    world.run(WINDOW)
    for name, numbers, seconds in events:
        if name == 'press':
            world.demand = PRESSING
        elif name == 'calm':
            world.demand = LIMIT.rate / 1.8
        elif name == 'heal':
            world.heal()
        else:
            getattr(world, name)(*numbers)
        world.run(seconds)
    assert world.most_ran <= MOST
