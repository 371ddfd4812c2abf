"""Orders by expected value while the load swings, in virtual time."""

from itertools import chain, cycle, repeat
from math import copysign, sin, tau

import pytest
from fleet_world import SCALING, STEP_SECONDS
from spanfall_core.gateway.orders.dips import DipHistory
from test_gateway_expected_value import full, played


def smooth(phase):
    return sin(phase * tau)


def steps(phase):
    return copysign(1, smooth(phase))


def early_rises(world, seconds, *, reclaimable):
    """Return how soon after a fall the count of a kind rose too early."""
    fell_at, early, last = float('-inf'), [], 0
    for _ in range(round(seconds / STEP_SECONDS)):
        world.run(STEP_SECONDS)
        orders = world.orders.in_force.items()
        count = sum(count for key, count in orders if key[1] == reclaimable)
        waited = world.now - fell_at
        if count > last and waited < SCALING.boot_seconds:
            early.append(waited)
        fell_at = world.now if count < last else fell_at
        last = count
    return early


@pytest.mark.parametrize('lost', [[], ['south', 'west', 'east']])
@pytest.mark.parametrize('shape', [smooth, steps])
@pytest.mark.parametrize('period', [12, 16, 20, 24, 40, 60])
def test_swinging_load_stops_nothing_needed_soon(lost, shape, period):
    """Load: it swings by 30% each 12 to 60 s, as it did twice before.

    With or without a shortage, upstreams were stopped in each dip, up to a
    second before they were ordered again.
    """
    world = played(lambda now: full(now) * (1 + 0.3 * shape(now / period)))
    for place in lost:
        world.reclaim(place, shortage=1000)
    world.run(20 + 2 * period)
    assert not early_rises(world, 4 * period, reclaimable=not lost)


def kept_counts(*seconds):
    """Return what is kept if the need is 6 and 4 by turns."""
    dips = DipHistory()
    needs = chain.from_iterable(map(repeat, cycle((6, 4)), seconds))
    return [dips.keep(need, 8, 4, now) for now, need in enumerate(needs)]


def test_lasting_fall_is_followed():
    """Load: it is low for 10 s of 20, then remains low, then as at first."""
    kept = kept_counts(10, 10, 10, 10, 10, 50, 1, 1)
    assert kept[10] == 4
    assert set(kept[30:40]) == {6}
    assert set(kept[64:100]) == {4}
    assert kept[101] == 4


def test_dips_of_varying_length_are_kept():
    """Load: noise makes it low for 9, then for 13 s, again and again."""
    kept = kept_counts(10, 9, 10, 13, 10, 9, 10, 13)
    assert set(kept[42:]) == {6}
