"""Order upstreams: reclaimable ones spread evenly, on-demand as a fallback."""

from collections import Counter
from itertools import product

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.configuration import EngineLimits, Scaling
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.demand import (
    MIN_OBSERVATION_SECONDS,
    Demand,
    OfferedLoad,
    needed_upstreams,
)
from spanfall_core.gateway.orders.orders import (
    ServiceOrders,
    ServingCounts,
    count_serving,
    record_accepted,
    record_refused,
)

DATA_CENTRES = {'north': 1.0, 'south': 0.8, 'east': 1.2, 'west': 0.9}
SCALING = Scaling(
    1, 5, boot_seconds=4, reclaimable_price=0.2, prices=DATA_CENTRES
)


def listed(reclaimable, on_demand):
    """Return rows with these counts of each kind in each data centre."""
    return [
        ListedUpstream(
            f'{data_centre}-{number}',
            'llm',
            '',
            data_centre,
            slots=32,
            reclaimable=number < reclaimable,
        )
        for data_centre, number in product(
            DATA_CENTRES, range(reclaimable + on_demand)
        )
    ]


def loaded(peak):
    """Return orders of a service whose need was observed for long enough."""
    demand = Demand(
        peak,
        initial_count=1,
        initial_count_at=-9,
        loaded_since=-MIN_OBSERVATION_SECONDS,
    )
    return ServiceOrders(demand=demand)


def started_with(count):
    """Return orders of a service that has started with ``count`` upstreams."""
    return ServiceOrders(
        demand=Demand(initial_count=count, initial_count_at=-9)
    )


def accept_all(planned, orders, now=0):
    for order in planned:
        record_accepted(order, orders, now)


def on_demand_in_force(orders, before=0):
    counts = (
        orders.in_force.get((data_centre, False), before)
        for data_centre in DATA_CENTRES
    )
    return sum(counts)


def as_rows(planned):
    return {
        (order.data_centre, order.reclaimable): order.count for order in planned
    }


def plan(orders, serving, now=0):
    return plan_orders('llm', SCALING, orders, serving, now)


def test_first_order_waits_for_registration():
    """Send no order before the initial count of upstreams is stable.

    Otherwise the first two of eighteen are taken as the need, and the fleet
    shrinks to four.
    """
    orders = ServiceOrders()
    registered = (2, 6, 14, 18, 18)
    for now, count in enumerate(registered):
        orders.demand.record_initial_count(count, now, now)
        assert not plan(orders, count_serving(listed(0, 1)), now)
    orders.demand.record_initial_count(18, 5, 5)
    accept_all(plan(orders, count_serving(listed(0, 4)), 5), orders, 5)
    # Each data centre keeps one on-demand upstream, which leaves room for four.
    planned = as_rows(plan(orders, count_serving(listed(0, 1)), 9))
    assert {planned[data_centre, True] for data_centre in DATA_CENTRES} == {4}
    accept_all(plan(orders, count_serving(listed(4, 1)), 14), orders, 14)
    planned = as_rows(plan(orders, count_serving(listed(4, 0)), 16))
    assert {planned[data_centre, True] for data_centre in DATA_CENTRES} == {5}


def test_idle_fleet_is_replaced_at_once():
    """Without load, on-demand upstreams stop while reclaimable ones boot."""
    orders = started_with(8)
    serving = count_serving(listed(0, 2))
    accept_all(plan(orders, serving), orders)
    assert on_demand_in_force(orders) == 4
    accept_all(plan(orders, count_serving(listed(2, 1)), 5), orders, 5)
    assert on_demand_in_force(orders) == 0


def test_loaded_fleet_keeps_serving_upstreams():
    """Under load, on-demand upstreams stay until replacements serve."""
    orders = started_with(8)
    orders.demand.loaded_since = 0
    kept = []
    swap = {0: (0, 2), 1: (0, 2), 2: (1, 2), 3: (2, 1)}
    for now, rows in swap.items():
        accept_all(plan(orders, count_serving(listed(*rows)), now), orders, now)
        kept.append(on_demand_in_force(orders, before=2))
    assert kept == [8, 8, 4, 0]


def test_booting_upstreams_need_no_on_demand_ones():
    """On-demand upstreams boot as slowly, at four times the price."""
    orders = loaded(4)
    accept_all(plan(orders, count_serving(listed(2, 0))), orders)
    orders.demand.peak = 12
    present = count_serving(listed(2, 0))
    accept_all(plan(orders, present, 1), orders, 1)
    assert {
        orders.in_force[data_centre, True] for data_centre in DATA_CENTRES
    } == {4}
    accept_all(plan(orders, present, 1.25), orders, 1.25)
    assert on_demand_in_force(orders) == 0


def test_unneeded_on_demand_upstreams_stop():
    planned = as_rows(plan(loaded(6), count_serving(listed(3, 1))))
    assert {planned[data_centre, False] for data_centre in DATA_CENTRES} == {0}


def test_other_data_centres_cover_a_lost_one():
    rows = [row for row in listed(2, 0) if row.data_centre != 'south']
    planned = as_rows(plan(loaded(5), count_serving(rows)))
    assert planned['south', True] == 2
    assert planned.get(('south', False), 0) == 0


def test_on_demand_upstreams_replace_refused_ones():
    orders = loaded(10)
    serving = count_serving(listed(1, 0))
    for order in plan(orders, serving):
        if order.reclaimable:
            record_refused(order, orders, 0)
    accept_all(plan(orders, serving, 0.25), orders, 0.25)
    assert on_demand_in_force(orders) == 6
    assert not any(row.reclaimable for row in plan(orders, serving, 1))
    # A new order to the data centres stops no on-demand upstream.
    again = plan(orders, serving, 4)
    assert any(row.reclaimable for row in again)
    assert all(row.reclaimable for row in again)


def test_second_loss_is_covered_ahead():
    """During a shortage, the loss of one more data centre is covered."""
    orders = loaded(9)
    present = count_serving(listed(4, 0))
    assert not any(
        as_rows(plan(orders, present)).get((data_centre, False), 0)
        for data_centre in DATA_CENTRES
    )
    for data_centre in DATA_CENTRES:
        orders.refused_until[data_centre] = 3
    one_lost = listed(4, 0)[4:]
    planned = as_rows(plan(orders, count_serving(one_lost)))
    assert (
        sum(
            planned.get((data_centre, False), 0) for data_centre in DATA_CENTRES
        )
        == 0
    )
    two_lost = listed(4, 0)[8:]
    planned = as_rows(plan(orders, count_serving(two_lost)))
    assert (
        sum(
            planned.get((data_centre, False), 0) for data_centre in DATA_CENTRES
        )
        == 4
    )


def test_lost_upstreams_are_ordered_again_at_once():
    orders = loaded(6)
    present = count_serving(listed(3, 0))
    for order in plan(orders, present):
        record_accepted(order, orders, 0)
    assert not plan(orders, present, 1)
    lost = count_serving(listed(3, 0)[3:])
    again = as_rows(plan(orders, lost, 1))
    assert [data_centre for data_centre, kind in again if kind] == ['north']


def test_backlog_is_no_lasting_need():
    engine = EngineLimits(slots=10, cache_tokens=1)
    speed = PrefillSpeed()
    backlog, full = OfferedLoad(running=300), OfferedLoad(running=30)
    waiting = needed_upstreams(engine, backlog, speed, present=3)
    assert waiting == needed_upstreams(engine, full, speed, present=3)


def test_small_changes_stop_no_upstreams():
    """A need that varies by one must not start and stop upstreams."""
    orders = loaded(12)
    orders.refused_until = dict.fromkeys(DATA_CENTRES, 60)
    reclaimable = Counter(north=4, east=4, south=2, west=1)
    serving = ServingCounts(reclaimable, Counter(south=3, west=2))
    counts = []
    for step in range(20):
        orders.demand.peak = 12 + step % 2
        for order in plan(orders, serving, step / 4):
            record_accepted(order, orders, step / 4)
        on_demand = (
            orders.in_force.get((data_centre, False), 0)
            for data_centre in DATA_CENTRES
        )
        counts.append(sum(on_demand))
    assert set(counts[1:]) == {counts[-1]}
    assert counts[-1] == 4


def test_full_data_centre_stays_full_in_shortage():
    """Keep the count of a full data centre stable during a shortage.

    It alternated between four and five on-demand upstreams, four times a
    second.
    """
    orders = loaded(12)
    orders.refused_until = dict.fromkeys(DATA_CENTRES, 60)
    on_demand = dict.fromkeys(DATA_CENTRES, 3) | {'south': 5, 'west': 5}
    serving = ServingCounts(Counter(), Counter(on_demand))
    counts = set()
    for step in range(8):
        accept_all(plan(orders, serving, step / 4), orders, step / 4)
        counts.add(orders.in_force.get(('south', False), 5))
    assert counts == {5}
    orders.refused_until = {}
    accept_all(plan(orders, serving, 20), orders, 20)
    assert orders.in_force['south', False] == 4


def test_shortage_stops_no_reclaimable_upstreams():
    """Stop no reclaimable upstream during a shortage when the load falls.

    A third of them were stopped and replaced by on-demand upstreams.
    """
    orders = loaded(8)
    present = count_serving(listed(3, 0))
    accept_all(plan(orders, present), orders)
    orders.demand.peak = 4
    lost = count_serving(listed(3, 0)[3:])
    for now in range(1, 30):
        orders.refused_until['north'] = now + 3
        accept_all(plan(orders, lost, now), orders, now)
    assert orders.in_force['south', True] == 3
    orders.refused_until = {}
    for later in range(31, 45):
        accept_all(plan(orders, present, later), orders, later)
    assert orders.in_force['south', True] == 2


def test_on_demand_upstreams_do_not_move():
    """Free capacity that moves between data centres moves no upstream."""
    orders = loaded(14)
    for cheap in ('south', 'west'):
        orders.in_force[cheap, False] = 2
    for short in DATA_CENTRES:
        reclaimable = Counter(dict.fromkeys(DATA_CENTRES, 3))
        reclaimable[short] = 1
        serving = ServingCounts(reclaimable, Counter(south=2, west=2))
        planned = as_rows(plan(orders, serving))
        kept = [
            planned.get((data_centre, False), 2)
            for data_centre in ('south', 'west')
        ]
        assert kept == [2, 2]


def test_no_reclaimable_price_means_on_demand():
    """Run a service without a reclaimable price on on-demand upstreams."""
    scaling = Scaling(1, 5, 4, reclaimable_price=0, prices=DATA_CENTRES)
    serving = count_serving(listed(0, 1))
    planned = as_rows(plan_orders('llm', scaling, loaded(7), serving, 0))
    assert (
        sum(
            planned.get((data_centre, False), 1) for data_centre in DATA_CENTRES
        )
        == 7
    )
    assert not any(kind for _, kind in planned)


def test_orders_in_force_are_not_repeated():
    orders = started_with(8)
    serving = count_serving(listed(0, 2))
    accept_all(plan(orders, serving), orders)
    accept_all(plan(orders, serving, 1), orders, 1)
    assert not plan(orders, serving, 2)
    late = plan(orders, serving, 8)
    assert late
    assert all(order.reclaimable for order in late if order.count == 2)


COUNTS = st.dictionaries(
    st.sampled_from(sorted(DATA_CENTRES)), st.integers(0, 5)
)


@given(COUNTS, COUNTS, st.floats(0, 60), st.integers(0, 20))
def test_orders_stay_within_bounds(reclaimable, on_demand, peak, first):
    serving = ServingCounts(Counter(reclaimable), Counter(on_demand))
    orders = ServiceOrders(demand=Demand(peak=peak, initial_count=first))
    for order in plan(orders, serving):
        assert 0 <= order.count <= SCALING.max_upstreams
        if order.reclaimable:
            present = serving.on_demand[order.data_centre]
            assert order.count + present <= max(SCALING.max_upstreams, present)
