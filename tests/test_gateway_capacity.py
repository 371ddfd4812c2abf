"""Order upstreams: reclaimable first, spread, bridged only when needed."""

from collections import Counter
from itertools import product

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.configuration import EngineLimits, Scaling
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.demand import (
    LEARN_SECONDS,
    Demand,
    OfferedLoad,
    needed_upstreams,
)
from spanfall_core.gateway.orders.orders import (
    Present,
    ServiceOrders,
    count_present,
    note_accepted,
    note_refused,
)

PLACES = {'north': 1.0, 'south': 0.8, 'east': 1.2, 'west': 0.9}
SCALING = Scaling(1, 5, boot_seconds=4, reclaimable_price=0.2, prices=PLACES)


def listed(reclaimable, others):
    """Return rows with so many upstreams of each kind in each place."""
    return [
        ListedUpstream(
            f'{place}-{number}',
            'llm',
            '',
            place,
            slots=32,
            reclaimable=number < reclaimable,
        )
        for place, number in product(PLACES, range(reclaimable + others))
    ]


def loaded(peak):
    """Return orders of a service whose need was seen for long."""
    demand = Demand(peak, found=1, found_at=-9, loaded_since=-LEARN_SECONDS)
    return ServiceOrders(demand=demand)


def found(count):
    """Return orders of a service that has just started with so many."""
    return ServiceOrders(demand=Demand(found=count, found_at=-9))


def note_all(planned, orders, now=0):
    for order in planned:
        note_accepted(order, orders, now)


def others_in_force(orders, before=0):
    counts = (orders.in_force.get((place, False), before) for place in PLACES)
    return sum(counts)


def as_rows(planned):
    return {
        (order.data_centre, order.reclaimable): order.count for order in planned
    }


def plan(orders, present, now=0):
    return plan_orders('llm', SCALING, orders, present, now)


def test_all_register_before_the_first_order():
    """Two of eighteen were taken as the need; the fleet shrank to four."""
    orders = ServiceOrders()
    registered = (2, 6, 14, 18, 18)
    for now, count in enumerate(registered):
        orders.demand.find(count, now, now)
        assert not plan(orders, count_present(listed(0, 1)), now)
    orders.demand.find(18, 5, 5)
    note_all(plan(orders, count_present(listed(0, 4)), 5), orders, 5)
    # Each place keeps one of the others, so it has room for four at first.
    planned = as_rows(plan(orders, count_present(listed(0, 1)), 9))
    assert {planned[place, True] for place in PLACES} == {4}
    note_all(plan(orders, count_present(listed(4, 1)), 14), orders, 14)
    planned = as_rows(plan(orders, count_present(listed(4, 0)), 16))
    assert {planned[place, True] for place in PLACES} == {5}


def test_an_idle_fleet_is_swapped_at_parity():
    """As many reclaimable ones boot while nobody waits for the others."""
    orders = found(8)
    present = count_present(listed(0, 2))
    note_all(plan(orders, present), orders)
    assert others_in_force(orders) == 4
    note_all(plan(orders, count_present(listed(2, 1)), 5), orders, 5)
    assert others_in_force(orders) == 0


def test_a_loaded_fleet_keeps_what_serves():
    """Those who boot serve nobody; what serves stays one for one."""
    orders = found(8)
    orders.demand.loaded_since = 0
    kept = []
    swap = {0: (0, 2), 1: (0, 2), 2: (1, 2), 3: (2, 1)}
    for now, rows in swap.items():
        note_all(plan(orders, count_present(listed(*rows)), now), orders, now)
        kept.append(others_in_force(orders, before=2))
    assert kept == [8, 8, 4, 0]


def test_what_boots_needs_no_bridge():
    """Others boot as long, at four times the price."""
    orders = loaded(4)
    note_all(plan(orders, count_present(listed(2, 0))), orders)
    orders.demand.peak = 12
    there = count_present(listed(2, 0))
    note_all(plan(orders, there, 1), orders, 1)
    assert {orders.in_force[place, True] for place in PLACES} == {4}
    note_all(plan(orders, there, 1.25), orders, 1.25)
    assert others_in_force(orders) == 0


def test_others_leave_when_they_are_not_needed():
    planned = as_rows(plan(loaded(6), count_present(listed(3, 1))))
    assert {planned[place, False] for place in PLACES} == {0}


def test_the_rest_carries_a_place_that_lost_all():
    rows = [row for row in listed(2, 0) if row.data_centre != 'south']
    planned = as_rows(plan(loaded(5), count_present(rows)))
    assert planned['south', True] == 2
    assert planned.get(('south', False), 0) == 0


def test_a_gap_is_bridged_after_a_refusal():
    orders = loaded(10)
    present = count_present(listed(1, 0))
    for order in plan(orders, present):
        if order.reclaimable:
            note_refused(order, orders, 0)
    note_all(plan(orders, present, 0.25), orders, 0.25)
    assert others_in_force(orders) == 6
    assert not any(row.reclaimable for row in plan(orders, present, 1))
    # Asking again sends none of the bridge away.
    again = plan(orders, present, 4)
    assert any(row.reclaimable for row in again)
    assert all(row.reclaimable for row in again)


def test_a_second_loss_is_bridged_before_it_comes():
    """None are to be had: what one more place has may go too."""
    orders = loaded(9)
    there = count_present(listed(4, 0))
    assert not any(
        as_rows(plan(orders, there)).get((place, False), 0) for place in PLACES
    )
    for place in PLACES:
        orders.refused_until[place] = 3
    one_lost = listed(4, 0)[4:]
    planned = as_rows(plan(orders, count_present(one_lost)))
    assert sum(planned.get((place, False), 0) for place in PLACES) == 0
    two_lost = listed(4, 0)[8:]
    planned = as_rows(plan(orders, count_present(two_lost)))
    assert sum(planned.get((place, False), 0) for place in PLACES) == 4


def test_what_went_again_is_ordered_at_once():
    orders = loaded(6)
    there = count_present(listed(3, 0))
    for order in plan(orders, there):
        note_accepted(order, orders, 0)
    assert not plan(orders, there, 1)
    lost = count_present(listed(3, 0)[3:])
    again = as_rows(plan(orders, lost, 1))
    assert [place for place, kind in again if kind] == ['north']


def test_a_jam_is_no_lasting_need():
    engine = EngineLimits(slots=10, cache_tokens=1)
    speed = PrefillSpeed()
    jam, full = OfferedLoad(running=300), OfferedLoad(running=30)
    waiting = needed_upstreams(engine, jam, speed, there=3)
    assert waiting == needed_upstreams(engine, full, speed, there=3)


def test_few_others_less_are_not_sent_away():
    """Counts that swing by one would start and stop upstreams."""
    orders = loaded(12)
    orders.refused_until = dict.fromkeys(PLACES, 60)
    reclaimable = Counter(north=4, east=4, south=2, west=1)
    present = Present(reclaimable, Counter(south=3, west=2))
    counts = []
    for step in range(20):
        orders.demand.peak = 12 + step % 2
        for order in plan(orders, present, step / 4):
            note_accepted(order, orders, step / 4)
        bridge = (orders.in_force.get((place, False), 0) for place in PLACES)
        counts.append(sum(bridge))
    assert set(counts[1:]) == {counts[-1]}
    assert counts[-1] == 4


def test_a_full_place_stays_full_in_a_dry_spell():
    """It swung between four and five others, four times a second."""
    orders = loaded(12)
    orders.refused_until = dict.fromkeys(PLACES, 60)
    others = dict.fromkeys(PLACES, 3) | {'south': 5, 'west': 5}
    present = Present(Counter(), Counter(others))
    counts = set()
    for step in range(8):
        note_all(plan(orders, present, step / 4), orders, step / 4)
        counts.add(orders.in_force.get(('south', False), 5))
    assert counts == {5}
    orders.refused_until = {}
    note_all(plan(orders, present, 20), orders, 20)
    assert orders.in_force['south', False] == 4


def test_a_dry_spell_sends_none_away():
    """A third of them went as the load fell, and others came in their place."""
    orders = loaded(8)
    there = count_present(listed(3, 0))
    note_all(plan(orders, there), orders)
    orders.demand.peak = 4
    lost = count_present(listed(3, 0)[3:])
    for now in range(1, 30):
        orders.refused_until['north'] = now + 3
        note_all(plan(orders, lost, now), orders, now)
    assert orders.in_force['south', True] == 3
    orders.refused_until = {}
    for later in range(31, 45):
        note_all(plan(orders, there, later), orders, later)
    assert orders.in_force['south', True] == 2


def test_others_stay_where_they_are():
    """Room that moves between places moves no upstream."""
    orders = loaded(14)
    for cheap in ('south', 'west'):
        orders.in_force[cheap, False] = 2
    for gone in PLACES:
        here = Counter(dict.fromkeys(PLACES, 3))
        here[gone] = 1
        present = Present(here, Counter(south=2, west=2))
        planned = as_rows(plan(orders, present))
        kept = [planned.get((place, False), 2) for place in ('south', 'west')]
        assert kept == [2, 2]


def test_without_reclaimable_ones_others_serve():
    """A service whose settings offer none is run on others."""
    scaling = Scaling(1, 5, 4, reclaimable_price=0, prices=PLACES)
    present = count_present(listed(0, 1))
    planned = as_rows(plan_orders('llm', scaling, loaded(7), present, 0))
    assert sum(planned.get((place, False), 1) for place in PLACES) == 7
    assert not any(kind for _, kind in planned)


def test_what_is_in_force_is_not_ordered_again():
    orders = found(8)
    present = count_present(listed(0, 2))
    note_all(plan(orders, present), orders)
    note_all(plan(orders, present, 1), orders, 1)
    assert not plan(orders, present, 2)
    late = plan(orders, present, 8)
    assert late
    assert all(order.reclaimable for order in late if order.count == 2)


COUNTS = st.dictionaries(st.sampled_from(sorted(PLACES)), st.integers(0, 5))


@given(COUNTS, COUNTS, st.floats(0, 60), st.integers(0, 20))
def test_orders_stay_within_bounds(reclaimable, others, peak, first):
    present = Present(Counter(reclaimable), Counter(others))
    orders = ServiceOrders(demand=Demand(peak=peak, found=first))
    for order in plan(orders, present):
        assert 0 <= order.count <= SCALING.max_upstreams
        if order.reclaimable:
            there = present.others[order.data_centre]
            assert order.count + there <= max(SCALING.max_upstreams, there)
