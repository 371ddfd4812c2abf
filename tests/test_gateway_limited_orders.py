"""Count an upstream with a rate limit by the load that it accepts."""

import pytest
from gateway_world import SERVICE, ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.orders.capacity import SCALE_DOWN_BOOTS
from spanfall_core.gateway.orders.demand import capacity_lost_to_limits
from spanfall_core.gateway.orders.orders import count_serving
from spanfall_standins.gateway.upstream import complete_response
from test_gateway_capacity import (
    DATA_CENTRES,
    SCALING,
    accept_all,
    listed,
    loaded,
    plan,
)

RATES = st.floats(0, 100)


def test_limit_costs_the_load_it_rejects():
    """Four upstreams have to serve twelve requests a second, three each."""
    assert capacity_lost_to_limits([1], 4, 12) == pytest.approx(2 / 3)
    assert capacity_lost_to_limits([0, 1.5, 3, 9], 4, 12) == pytest.approx(1.5)
    assert capacity_lost_to_limits([], 4, 12) == 0


def test_without_load_nothing_is_lost():
    assert capacity_lost_to_limits([0], 0, 12) == 0
    assert capacity_lost_to_limits([0], 4, 0) == 0


@given(st.lists(RATES, max_size=9), st.floats(0.01, 50), st.floats(0.01, 999))
def test_no_more_is_lost_than_is_limited(limits, needed, request_rate):
    assert (
        0
        <= capacity_lost_to_limits(limits, needed, request_rate)
        <= len(limits)
    )


@in_world
async def test_the_home_counts_each_request_that_asks(world):
    """Refused requests count too: offered load matters, not served load."""
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    upstream.statement_headers = {'takes-a-second': '0'}
    statuses = [
        (await ask(state, '/any/1', attempt=f'a{number}')).status
        for number in range(3)
    ]
    assert statuses == [200, 503, 503]
    assert state.grant_book.first_attempts[SERVICE] == 3


def reclaimable_in_force(peak, lost, now=0):
    """Return the distinct counts of reclaimable upstreams in force."""
    orders = loaded(peak)
    orders.capacity_lost = lost
    serving = count_serving(listed(1, 0))
    accept_all(plan(orders, serving, now), orders, now)
    return {
        orders.in_force.get((data_centre, True), 1)
        for data_centre in DATA_CENTRES
    }


def test_loss_reserve_covers_limits():
    """Four data centres run one each, which covers two limited ones."""
    assert reclaimable_in_force(2.3, 0) == {1}
    assert reclaimable_in_force(2.3, 1.6) == {1}
    assert reclaimable_in_force(2.3, 2.5) == {2}


def test_capacity_lost_to_limits_is_not_held():
    orders = loaded(2.3)
    orders.capacity_lost = 2.5
    serving = count_serving(listed(1, 0))
    accept_all(plan(orders, serving), orders)
    orders.capacity_lost = 0
    later = SCALING.boot_seconds * SCALE_DOWN_BOOTS + 1
    serving = count_serving(listed(2, 0))
    accept_all(plan(orders, serving, later), orders, later)
    assert {
        orders.in_force[data_centre, True] for data_centre in DATA_CENTRES
    } == {1}
