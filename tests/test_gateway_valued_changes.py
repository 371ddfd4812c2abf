"""Orders by expected value when the data centres or the planner change."""

from collections import Counter
from dataclasses import replace

import pytest
from fleet_world import PRICES, SCALING
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.offered_work import RequestTimes
from spanfall_core.gateway.orders.orders import (
    ServingCounts,
    count_serving,
    record_accepted,
)
from spanfall_core.gateway.orders.placement import (
    CountBounds,
    PlacementNeed,
    adjust,
    place,
)
from spanfall_core.gateway.orders.reclaims import (
    ReclaimHistory,
    restore_reclaims,
)
from spanfall_core.gateway.orders.valued_capacity import (
    Valuation,
    plan_valued_orders,
)
from test_gateway_capacity import loaded

ALL_KEPT = {('south', True): 4}


def valuation(busy, now=0.0):
    known = Valuation(times=RequestTimes(0.8, 0.15, 0.1))
    known.forecast.restore(busy, now)
    return known


def serving(reclaimable, on_demand=()):
    return ServingCounts(Counter(reclaimable), Counter(on_demand))


def planned(known, orders, present, scaling=SCALING, now=0.0):
    """Plan, and let the cloud accept all orders."""
    found = plan_valued_orders('llm', scaling, orders, known, present, now)
    accept(found, orders, now)
    return {order.key: order.count for order in found}


def accept(found, orders, now):
    for order in found:
        record_accepted(order, orders, now)


def test_only_data_centre_runs_what_is_needed():
    """No count in a single data centre outlasts its loss."""
    need = PlacementNeed(total=3, after_loss=2)
    bounds = CountBounds(1, 20)
    assert place(need, {'south': 1}, bounds) == {'south': 3}
    assert adjust({'south': 9}, need, {'south': 1}, bounds) == {'south': 3}


def test_reclaim_noticed_in_parts_counts_once():
    history, times = ReclaimHistory(), iter(range(20))
    for present in (4, 4, 3, 1, 0, 0):
        history.record(serving({'south': present}), ALL_KEPT, next(times))
    assert history.counts == {'south': 1}
    for present in (1, 4, 1, 0):
        history.record(serving({'south': present}), ALL_KEPT, next(times))
    assert history.counts == {'south': 2}


@pytest.mark.parametrize('leaves_in', [None, 2.5])
def test_crash_of_the_only_upstream_is_no_reclaim(leaves_in):
    """Load: a data centre runs one, which ends with or without a notice."""
    row = ListedUpstream('u', 'llm', '', 'south', 8, reclaimable=True)
    noticed = replace(row, leaving=True, leaves_in=leaves_in)
    history = ReclaimHistory()
    for now, rows in enumerate(([row], [noticed], [], [row])):
        history.record(count_serving(rows), {('south', True): 1}, now)
    assert history.counts['south'] == (leaves_in is not None)


def test_reclaims_are_handed_on():
    """Load: five of the upstreams' reclaims within the last minute."""
    known = ReclaimHistory(40, Counter(south=5))
    taken = restore_reclaims(known.seen(100), now=7)
    rates = [known.rate('south', 130), taken.rate('south', 37)]
    assert rates[0] == rates[1]
    many = ReclaimHistory(0, Counter({f'z{at}': at + 1 for at in range(99)}))
    assert set(many.seen(1).counts.values()) == set(range(84, 100))


@pytest.mark.parametrize('on_demand', [1, 3])
def test_taking_over_stops_nothing_that_boots(on_demand):
    """Load: upstreams begin to state slowdowns while ordered ones still boot.

    The even planner has ordered equal counts a second before.
    """
    orders, found = loaded(9), serving({}, dict.fromkeys(PRICES, on_demand))
    accept(plan_orders('llm', SCALING, orders, found, 0), orders, 0)
    before = dict(orders.in_force)
    planned(valuation(5, 1), orders, found, now=1)
    lower = {
        key: orders.in_force[key]
        for key, count in before.items()
        if orders.in_force[key] < count
    }
    assert not lower


def test_new_home_leaves_upstreams_where_they_are():
    """Load: its predecessor avoided the cheapest data centre."""
    found = {'north': 5, 'south': 2, 'east': 5, 'west': 5}
    known = valuation(11)
    planned(known, loaded(16), serving(found), now=100)
    assert known.placed == found | {'south': 3}


@pytest.mark.parametrize('initial', [4, 60])
def test_initial_upstreams_exceed_no_bound(initial):
    """Load: the operator starts more than the data centres may run."""
    orders = loaded(1)
    orders.demand.loaded_since = None
    orders.demand.initial_count = initial
    known = valuation(1)
    planned(known, orders, serving({}, {'south': 5}))
    assert max(known.targets.values()) <= SCALING.max_upstreams


def test_full_data_centre_is_left_alone():
    """Load: on-demand upstreams fill a data centre that needs no others."""
    scaling = replace(SCALING, min_upstreams=0, reclaimable_price=0)
    full = serving({}, dict.fromkeys(PRICES, 5))
    orders, known = loaded(9), valuation(60)
    changes = [
        planned(known, orders, full, scaling, step / 4) for step in range(40)
    ]
    assert not any(changes[1:])


def test_reclaimed_data_centre_runs_fewest():
    """Load: south, the cheapest, was reclaimed three times in 100 s."""
    calm, lost = valuation(11), valuation(11)
    lost.reclaims.observed_since = 0
    lost.reclaims.counts['south'] = 3
    for known in (calm, lost):
        planned(known, loaded(16), serving({}), now=100)
    assert calm.placed['south'] == max(calm.placed.values())
    assert lost.placed['south'] == min(lost.placed.values())
    assert lost.placed['south'] < calm.placed['south']


def test_initial_count_until_load_is_known():
    """Load: a tenth of it was seen a second ago, most is still to come."""
    orders, known = loaded(1), valuation(1)
    orders.demand.loaded_since = -1
    orders.demand.initial_count = 8
    found = {'south': 4, 'west': 4}
    planned(known, orders, serving({}, found))
    assert min(known.targets.values()) == 2
    assert {place: orders.in_force[place, False] for place in found} == found


def test_short_dip_stops_no_on_demand():
    """Load: it halves for a second while no reclaimable ones are available."""
    orders, known = loaded(16), valuation(11)
    orders.refused_until = dict.fromkeys(PRICES, 1000)
    planned(known, orders, serving({}))
    before = dict(orders.in_force)
    for now, busy in ((10, 11), (11, 5), (12, 11), (13, 5)):
        known.forecast.restore(busy, now)
        planned(known, orders, serving({}), now=now)
        assert orders.in_force == before
    planned(known, orders, serving({}), now=20)
    assert sum(orders.in_force.values()) < sum(before.values())
