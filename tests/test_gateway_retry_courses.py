"""Keep the retries of a whole fleet within its budget, whatever befalls it."""

import os
from random import Random

import pytest
from retry_world import RetryFleet
from spanfall_core.gateway.routing.retry_budget import RetryLimits

SEEDS = int(os.environ.get('SPANFALL_SEEDS', '12'))
#: Allowance for each entry, as in the deployments.
ALLOWANCE_EACH = 2.3
SIZES = (8, 78)
#: Maximum seconds from the send of a retry to its arrival.
DELIVERY = 3
RATES = (0.6, 2.5, 7.5)


def new_fleet(entries, rate_each, seed=0):
    """Return a fleet that has run for half a minute; rates are an entry's."""
    allowance = max(56, ALLOWANCE_EACH * entries)
    limits = RetryLimits(0.2, allowance, 10, DELIVERY)
    fleet = RetryFleet(entries, 0, limits, Random(seed))
    fleet.run(30)
    fleet.rate = rate_each * entries
    return fleet


@pytest.mark.parametrize('entries', SIZES)
@pytest.mark.parametrize('rate', RATES)
def test_kills_of_all_nodes_keep_the_budget(entries, rate):
    """A process that starts knows no retry of the one before it."""
    fleet = new_fleet(entries, rate)
    fleet.run(3)
    for _ in range(3):
        fleet.kill(fleet.nodes)
        fleet.run(4)
    fleet.run(20)
    assert fleet.worst_use() <= 1


@pytest.mark.parametrize('entries', SIZES)
@pytest.mark.parametrize('rate', RATES)
def test_a_rolling_restart_keeps_the_budget(entries, rate):
    """Planned stops of one host after the other give no share twice."""
    fleet = new_fleet(entries, rate)
    fleet.run(3)
    for node in fleet.nodes:
        fleet.kill([node], dark=1)
        fleet.run(3 / entries)
    fleet.run(20)
    assert fleet.worst_use() <= 1


@pytest.mark.parametrize('entries', SIZES)
@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize('seconds', [6, 12, 40])
def test_halves_of_a_fleet_keep_the_budget(entries, rate, seconds):
    """Each half divides the allowance by the entries that it sees."""
    fleet = new_fleet(entries, rate)
    fleet.run(1)
    fleet.cut(fleet.nodes[: entries // 2])
    fleet.run(seconds)
    fleet.heal(fleet.nodes)
    fleet.run(20)
    assert fleet.worst_use() <= 1


@pytest.mark.parametrize('entries', SIZES)
@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize('apart', [10, 11, 12])
def test_retries_behind_a_cut_keep_the_budget(entries, rate, apart):
    """What waits behind a cut arrives together with what is sent later."""
    fleet = new_fleet(entries, 3 * rate)
    fleet.run_behind_cut(DELIVERY)
    fleet.rate = 0
    fleet.run(apart - DELIVERY)
    fleet.rate = 3 * rate * entries
    fleet.run(2)
    assert fleet.worst_use() <= 1


@pytest.mark.parametrize('seed', range(SEEDS))
def test_a_drawn_course_keeps_the_budget(seed):
    """Kills, cuts, and moving traffic overlap; no window holds too many."""
    rng = Random(seed)
    fleet = new_fleet(rng.choice((3, 8, 30)), rng.choice(RATES), seed)
    if rng.random() < 0.3:
        fleet.weights = [rng.expovariate(1) for _ in fleet.nodes]
    for _ in range(rng.randint(2, 8)):
        some = rng.sample(fleet.nodes, rng.randint(1, fleet.entries))
        rng.choice((fleet.kill, fleet.cut, fleet.heal))(some)
        fleet.run(rng.choice((0.3, 1, 3, 6, 11)))
        if rng.random() < 0.3:
            fleet.run_behind_cut(DELIVERY)
    fleet.heal(fleet.nodes)
    fleet.run(20)
    assert fleet.worst_use() <= 1
