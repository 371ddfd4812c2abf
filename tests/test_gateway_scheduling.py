"""Features are in force where settings or upstreams call for them."""

import pytest
from gateway_world import SERVICE, ask, in_world
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_core.gateway.known.configuration import (
    CallerLimits,
    EngineLimits,
    Route,
    RouteKind,
    ServedConfiguration,
    ServedService,
    ServiceShare,
)
from spanfall_node.gateway.tables.scheduling import Feature, Scheduling
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until


@pytest.mark.parametrize(
    ('mode', 'shared', 'expected'),
    [
        (Mode.AUTO, False, False),
        (Mode.AUTO, True, True),
        (Mode.ON, False, True),
        (Mode.OFF, True, False),
    ],
)
def test_modes(mode, shared, expected):
    scheduling = Scheduling(SchedulingSettings(capacity=mode))
    scheduling.add_shared_host_services([SERVICE] if shared else [])
    assert scheduling.is_on(Feature.CAPACITY, SERVICE) is expected


@pytest.mark.parametrize(('text', 'expected'), [('1/0/4', 0), ('1/0/4/2', 1)])
def test_all_nodes_learn_of_shared_hosts(text, expected):
    """Only one entry gets the answer that states a slowdown."""

    @in_world
    async def play(world):
        upstream = await world.add_upstream(complete_response())
        upstream.statement_headers = {'load': text}
        gateways = [await world.add_gateway() for _ in range(3)]
        answer = await ask(gateways[0], '/any/1')
        assert answer.status == 200
        if expected:
            await wait_until(
                lambda: all(
                    one.scheduling.is_on(Feature.UPSTREAM_SPEEDS, SERVICE)
                    for one in gateways
                )
            )
        assert all(
            len(one.scheduling.shared_host_services) == expected
            for one in gateways
        )

    play()


@pytest.mark.parametrize(
    ('service', 'expected'), [('engines', 1), ('calls', 0)]
)
def test_calls_wait_at_their_upstreams(service, expected):
    """Calls of 20 to 60 ms are over before the home has given a turn.

    Upstreams without an engine have a queue of their own, which leaves no slot
    idle; admission is for them only where the operator wants it.
    """
    scheduling = Scheduling(SchedulingSettings())
    scheduling.apply_configuration(configuration())
    scheduling.add_shared_host_services((service,))
    assert scheduling.is_on(Feature.CONTENTION, service) == expected
    assert scheduling.is_on(Feature.UPSTREAM_SPEEDS, service)
    scheduling.cfg = SchedulingSettings(contention=Mode.ON)
    assert scheduling.is_on(Feature.CONTENTION, service)


def configuration(*routes):
    services = [
        ServedService('engines', 64, EngineLimits(8, 1000)),
        ServedService('calls', 64),
    ]
    return ServedConfiguration(1, routes, services, [], CallerLimits())


def served_route(service, priority, timeout, target):
    name = f'{service}/{priority}/{timeout}'
    shares = (ServiceShare(service, 1),)
    kind = RouteKind.STREAM
    return Route(
        name, 'h', '/', kind, timeout, target, shares, priority=priority
    )


@pytest.mark.parametrize(
    ('timeouts', 'expected'),
    [
        # The urgent callers of engines leave after four targets.
        ({'engines': (3.2, 15)}, {'engines'}),
        # They wait for 20 targets, the others leave sooner.
        ({'engines': (16, 2)}, set()),
        # A service without engines rejects what it has no room for.
        ({'calls': (3.2, 15)}, set()),
        ({}, set()),
    ],
)
def test_services_with_impatient_callers(timeouts, expected):
    """A queue of some targets loses the requests of impatient callers."""
    routes = [
        served_route(service, priority, timeout, 0.8)
        for service, both in timeouts.items()
        for priority, timeout in enumerate(both)
    ]
    scheduling = Scheduling(SchedulingSettings())
    scheduling.apply_configuration(configuration(*routes))
    assert scheduling.impatient_services == expected
    for service in expected:
        assert scheduling.is_on(Feature.CONTENTION, service)
        assert not scheduling.is_on(Feature.UPSTREAM_SPEEDS, service)
