"""Sum at the home what all entries retry."""

import logging

from gateway_world import in_world
from spanfall_core.gateway.known.fleet import EntryReport, FleetState
from spanfall_core.gateway.known.fleet_retries import RetryCounts
from spanfall_core.gateway.routing.allowance_share import AllowanceShare
from spanfall_core.gateway.routing.retry_budget import RetryBudget, RetryLimits
from spanfall_node.gateway.home.fleet_retries import observe_retries

WINDOW = 10
GAUGE = ('spanfall_fleet_retries', {'service': 'sheets'})


def report(node, incarnation, requests, retries):
    """Return a report of an entry that sent requests and retries."""
    counts = {'sheets': RetryCounts(requests, retries)}
    return EntryReport(node, incarnation, retries=counts)


def test_sum_includes_processes_that_ended():
    """A process that starts counts anew, and what was sent before stays."""
    fleet = FleetState()
    fleet.apply_report(report('a', '1', 10, 4), 1)
    fleet.apply_report(report('a', '2', 5, 3), 3)
    fleet.apply_report(report('b', '1', 2, 1), 3)
    fleet.apply_report(report('b', '1', 4, 2), 4)
    assert fleet.retries(WINDOW, 4) == {'sheets': RetryCounts(19, 9)}
    assert fleet.retries(WINDOW, 12) == {'sheets': RetryCounts(9, 5)}


def test_only_services_with_retries_are_reported():
    """A fleet has thousands of services, and each report has its cost."""
    share = AllowanceShare(WINDOW, 0, started_at=float('-inf'))
    share.tell(1, float('inf'))
    budget = RetryBudget(RetryLimits(0.2, 10, WINDOW), share)
    for service in ('sheets', 'desk'):
        budget.record_request(service, 0)
    budget.try_reserve('desk', 0)
    budget.record_send('desk', 0)
    assert budget.recent_counts(1) == {'desk': RetryCounts(1, 1)}
    assert not budget.recent_counts(2 * WINDOW)


@in_world
async def test_home_logs_an_excess_once_a_window(world):
    """An excess over all entries shows, although each kept to its share."""
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    logging.getLogger('spanfall_node').addHandler(handler)
    state = await world.add_gateway(retry_allowance=5)
    now = state.timers.now()
    for retries in (0, 8, 9):
        state.fleet.apply_report(report('a', '1', 10, retries), now)
        observe_retries(state, now)
    logging.getLogger('spanfall_node').removeHandler(handler)
    exceeded = [line for line in lines if 'exceeded' in line]
    assert len(exceeded) == 1
    assert state.counters.registry.get_sample_value(*GAUGE) == 9
    observe_retries(state, now + 2 * WINDOW)
    assert state.counters.registry.get_sample_value(*GAUGE) is None
    assert 'service sheets exceeded: 8 retries' in exceeded[0]
