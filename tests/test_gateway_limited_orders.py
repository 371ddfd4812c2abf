"""Orders count an upstream that names a limit as what it takes."""

import pytest
from gateway_world import SERVICE, ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.orders.capacity import HOLD_BOOTS
from spanfall_core.gateway.orders.demand import lost_to_limits
from spanfall_core.gateway.orders.orders import count_present
from spanfall_standins.gateway.upstream import complete_response
from test_gateway_capacity import (
    PLACES,
    SCALING,
    listed,
    loaded,
    note_all,
    plan,
)

RATES = st.floats(0, 100)


def test_a_limit_costs_what_it_does_not_take():
    """Four upstreams are to serve twelve a second, three each."""
    assert lost_to_limits([1], 4, 12) == pytest.approx(2 / 3)
    assert lost_to_limits([0, 1.5, 3, 9], 4, 12) == pytest.approx(1.5)
    assert lost_to_limits([], 4, 12) == 0


def test_without_load_nothing_is_lost():
    assert lost_to_limits([0], 0, 12) == 0
    assert lost_to_limits([0], 4, 0) == 0


@given(st.lists(RATES, max_size=9), st.floats(0.01, 50), st.floats(0.01, 999))
def test_no_more_is_lost_than_is_limited(limits, needed, requests_rate):
    assert 0 <= lost_to_limits(limits, needed, requests_rate) <= len(limits)


@in_world
async def test_the_home_counts_each_request_that_asks(world):
    """Refused ones too: what is offered counts, not what is served."""
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    upstream.statement_headers = {'takes-a-second': '0'}
    statuses = [
        (await ask(state, '/any/1', attempt=f'a{number}')).status
        for number in range(3)
    ]
    assert statuses == [200, 503, 503]
    assert state.grant_book.asked[SERVICE] == 3


def reclaimable_in_force(peak, lost, now=0):
    """Return the reclaimable ones that are ordered in each place."""
    orders = loaded(peak)
    orders.lost = lost
    present = count_present(listed(1, 0))
    note_all(plan(orders, present, now), orders, now)
    return {orders.in_force.get((place, True), 1) for place in PLACES}


def test_room_for_a_lost_place_serves_for_limits():
    """Four places run one each; two of four that are limited fit in that."""
    assert reclaimable_in_force(2.3, 0) == {1}
    assert reclaimable_in_force(2.3, 1.6) == {1}
    assert reclaimable_in_force(2.3, 2.5) == {2}


def test_what_limits_cost_is_not_kept_for_long():
    orders = loaded(2.3)
    orders.lost = 2.5
    present = count_present(listed(1, 0))
    note_all(plan(orders, present), orders)
    orders.lost = 0
    later = SCALING.boot_seconds * HOLD_BOOTS + 1
    present = count_present(listed(2, 0))
    note_all(plan(orders, present, later), orders, later)
    assert {orders.in_force[place, True] for place in PLACES} == {1}
