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
    LARGEST,
    Fate,
    mixed_sizes,
    run_at_once,
    run_in_a_jam,
)
from quota_world import SMALL, QuotaWorld

ENTRIES = 8
USUAL = SMALL.rate / 1.8
PRESSING = USUAL * 7.5


def small_world(seed=0, **fields):
    """Return a fleet before a workspace whose limit is few requests."""
    fields.setdefault('sizes', mixed_sizes(seed))
    return QuotaWorld(
        entries=ENTRIES,
        demand=USUAL,
        limit=SMALL,
        transit=2,
        seed=seed,
        **fields,
    )


def beyond_by_seed(calm, soonest, latest, strike):
    """Let pressure begin after a calm time, then something befall the fleet.

    Return by how much what is tolerated was passed, for each seed.
    """
    beyond = []
    for seed in range(12):
        world = small_world(seed)
        world.run(calm)
        world.demand = PRESSING
        world.run(Random(seed).uniform(soonest, latest))
        strike(world)
        world.run(12)
        beyond.append(world.most_beyond)
    return beyond


def test_a_home_cut_off_under_a_small_limit():
    """Both sides of the cut spend what they hold, and no more."""
    beyond = beyond_by_seed(2 * WINDOW, 0, 2, lambda world: world.cut(0, 1, 2))
    assert max(beyond) <= 0, beyond


@pytest.mark.parametrize('before', [0.5, 0.9])
def test_large_requests_when_little_is_left(before):
    """All entries begin one of the largest requests at the same moment."""
    world = small_world(sizes=lambda: 1_000)
    world.run(2 * WINDOW)
    world.demand = PRESSING
    world.run(WINDOW * before)
    world.sizes = lambda: LARGEST
    world.demand = ENTRIES * LARGEST * 20
    world.run(1)
    assert world.most_beyond <= 0


def test_units_of_late_refusals():
    """Requests are refused long after they were admitted."""
    world = small_world(sizes=lambda: 10_000)
    world.run(2 * WINDOW)
    fates = repeat(Fate(80, is_refused=True), 40)
    world.fates = lambda: next(fates, Fate())
    world.demand = PRESSING
    world.run(2 * WINDOW)
    assert world.most_beyond <= 0


def test_all_nodes_killed_as_pressure_begins():
    """The next home does not know what was spent in the last moment."""
    beyond = beyond_by_seed(
        3 * WINDOW,
        0.3,
        3,
        lambda world: world.kill(*range(ENTRIES)),
    )
    assert max(beyond) <= 0, beyond


def test_all_nodes_killed_after_a_sudden_burst():
    """Too little was spent to be recorded, all of it in the last moment."""
    world = small_world(sizes=lambda: 1_000)
    world.demand = 0
    world.run(2 * WINDOW)
    world.demand = SMALL.total * 0.45
    world.run(1)
    world.kill(*range(ENTRIES))
    world.demand = PRESSING
    world.run(WINDOW)
    assert world.most_beyond <= 0


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
    worlds = (two_restarts(seed, entries, late) for seed in range(seeds))
    assert max(world.most_beyond for world in worlds) <= 0


def two_restarts(seed, entries, late):
    """Play the course with moments drawn from a seed."""
    draw = Random(seed)
    world = QuotaWorld(
        entries=entries,
        demand=LIMIT.rate / 1.8,
        sizes=mixed_sizes(seed),
        transit=2,
        seed=seed,
    )
    world.store.steps = late
    world.run(WINDOW + draw.uniform(0, 3))
    world.store_is_away = True
    world.run(draw.uniform(3, 4.5))
    world.store_is_away = False
    world.run(draw.uniform(0, 1.5))
    world.demand = LIMIT.rate / 1.8 * draw.uniform(4, 7.5)
    world.run(draw.uniform(0.2, 2))
    world.kill(*range(entries))
    world.run(draw.uniform(3.2, 4.8))
    world.kill(*range(entries))
    world.run(10)
    return world


def test_a_home_that_hands_over_under_pressure():
    """Its units go on with their holders, and the next home hears of them."""

    def hand_over(world):
        world.hand_over(3)
        world.run(1.5)
        world.hand_over(5)

    beyond = beyond_by_seed(2 * WINDOW, 0, 2, hand_over)
    assert max(beyond) <= 0, beyond


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
def test_no_course_passes_the_limit(seed, waits, events):
    """Cuts, kills, freezes, jams, changed limits, a lost store, any order."""
    fates = run_in_a_jam(seed, refused=0.3) if waits else run_at_once()
    world = small_world(seed, fates=fates)
    world.run(WINDOW)
    for name, numbers, seconds in events:
        quota_events.EVENTS[name](world, numbers)
        world.run(seconds)
    assert world.most_beyond <= 0
