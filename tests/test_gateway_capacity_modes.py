"""Plan upstreams by expected value only where the settings call for it."""

from copy import deepcopy
from itertools import product

import pytest
from gateway_world import in_world
from prometheus_client import generate_latest
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_core.gateway.known.configuration import (
    EngineLimits,
    ServedService,
)
from spanfall_core.gateway.orders.capacity import plan_orders
from spanfall_core.gateway.orders.orders import count_serving
from spanfall_core.gateway.orders.reclaims import SeenReclaims
from spanfall_node.gateway.duties.capacity_duty import CapacityPlanner
from spanfall_node.gateway.duties.duties import CloudClient
from spanfall_node.gateway.duties.valuations import Valuations
from spanfall_node.gateway.tables.scheduling import Scheduling
from test_gateway_capacity import SCALING, listed, loaded

SERVICE = ServedService('llm', 100, EngineLimits(32, 1), SCALING)
NEED = 12.5


async def planned_by(world, scheduling):
    """Return the orders of the duty and those of the even planner."""
    state = await world.add_gateway()
    state.scheduling = scheduling
    state.needs = {'llm': NEED}
    duty = CapacityPlanner(state, CloudClient(state, None))
    orders = loaded(NEED)
    present = count_serving(listed(2, 1))
    even = plan_orders('llm', SCALING, deepcopy(orders), present, 0)
    planned = duty._plan(SERVICE, orders, present, 0)
    return planned, even, generate_latest(state.counters.registry).decode()


@pytest.mark.parametrize('mode', [Mode.OFF, Mode.AUTO])
def test_the_even_planner_runs_unless_called_for(mode):
    @in_world
    async def play(world):
        scheduling = Scheduling(SchedulingSettings(capacity=mode))
        planned, even, metrics = await planned_by(world, scheduling)
        assert planned == even
        assert 'spanfall_capacity{' not in metrics

    play()


@pytest.mark.parametrize('mode', [Mode.ON, Mode.AUTO])
def test_expected_value_where_called_for(mode):
    """The figures behind the orders are metrics."""

    @in_world
    async def play(world):
        scheduling = Scheduling(SchedulingSettings(capacity=mode))
        scheduling.add_shared_host_services(['llm'])
        planned, even, metrics = await planned_by(world, scheduling)
        assert planned
        assert planned != even
        assert 'spanfall_capacity{figure="after-loss",service="llm"}' in metrics

    play()


@in_world
async def test_next_home_knows_the_reclaims(world):
    """Load: five reclaims of a data centre were seen before the home ended."""
    state = await world.add_gateway()
    state.reclaims = {'llm': SeenReclaims(60, {'south': 5})}
    valuations = Valuations(state)
    assert valuations.of('llm', 7).reclaims.counts == {'south': 5}
    valuations.report('llm', [], 9)
    assert state.reclaims == {'llm': SeenReclaims(62, {'south': 5})}


@pytest.mark.parametrize(('mode', 'factor'), [(Mode.ON, 2), (Mode.OFF, 1)])
def test_slowed_hosts_do_less_work(mode, factor):
    """Load: neighbours slow all hosts to half their usual speed.

    With the speed of single upstreams, that of the service is the usual one;
    without, it is the present one already.
    """

    @in_world
    async def play(world):
        state = await world.add_gateway()
        state.scheduling = Scheduling(SchedulingSettings(upstream_speeds=mode))
        rows = listed(2, 1)
        known, now = busy(state, rows), state.timers.now()
        for row, ago in product(rows, range(100, -1, -1)):
            state.upstream_speeds.record_slowdown(
                'llm', row.lifetime, 2, now - ago / 2
            )
        assert busy(state, rows) == pytest.approx(known * factor, rel=0.1)

    play()


def busy(state, rows):
    """Return the engines that prompts keep busy."""
    valuations, now = Valuations(state), state.timers.now()
    for step in range(2):
        valuations.update_rates({'llm': 9e4 * step}, {'llm': step}, now + step)
    valuations.update(SERVICE, rows, now + 1)
    return valuations.of('llm', now).forecast.level
