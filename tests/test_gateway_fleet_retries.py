"""Sum at the home what all entries retry."""

import logging

from gateway_world import in_world
from spanfall_core.gateway.known.fleet import EntryReport, FleetState
from spanfall_core.gateway.known.fleet_retries import RetryCounts
from spanfall_node.gateway.home.fleet_retries import observe_retries

WINDOW = 10


def report(node, incarnation, requests, retries):
    """Return a report of an entry that sent requests and retries."""
    counts = {'sheets': RetryCounts(requests, retries)}
    return EntryReport(node, incarnation, retries=counts)


def test_sum_includes_processes_that_ended():
    """A process that starts counts anew, and what was sent before stays."""
    fleet = FleetState()
    fleet.apply_report(report('a', '1', 0, 0), 0)
    fleet.apply_report(report('a', '1', 10, 4), 1)
    fleet.apply_report(report('a', '2', 0, 0), 2)
    fleet.apply_report(report('a', '2', 5, 3), 3)
    sent = fleet.retries.services['sheets']
    assert sent.retries.recent(WINDOW, 4) == 7
    assert sent.requests.recent(WINDOW, 4) == 15
    assert sent.retries.recent(WINDOW, 20) == 0


@in_world
async def test_home_logs_an_excess_once_a_window(world):
    """An excess over all entries shows, although each kept to its share."""
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    logging.getLogger('spanfall_node').addHandler(handler)
    state = await world.add_gateway(retry_allowance=5)
    now = state.timers.now()
    for retries in (0, 6, 7):
        state.fleet.apply_report(report('a', '1', 10, retries), now)
        observe_retries(state, now)
    logging.getLogger('spanfall_node').removeHandler(handler)
    exceeded = [line for line in lines if 'exceeded' in line]
    assert len(exceeded) == 1
    assert 'service sheets exceeded: 6 retries' in exceeded[0]
