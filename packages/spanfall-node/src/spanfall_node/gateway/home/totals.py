"""Apply the totals over the entries, received from the home or computed."""

from spanfall_core.gateway.known.fleet import FleetTotals

from spanfall_node.gateway.home.fleet_retries import observe_retries
from spanfall_node.gateway.home.peer_links import follow_own_peers
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.prefix_copies import log_hot_parts
from spanfall_node.gateway.upstreams.speeds import log_factors

#: Tables per second that contain totals over the entries. The totals are the
#: largest part of a table, and more of them would fill the link of a small
#: host.
MAX_TOTALS_PER_SECOND = 80


def totals_period(entries: int) -> float:
    """Return the seconds after which an entry requests new totals."""
    return entries / MAX_TOTALS_PER_SECOND


def apply_entry_count(
    state: GatewayState, entries: int, told_at: float, *, is_current: bool
) -> None:
    """Apply the number of entries that a home told at a time.

    Only a home whose lease is valid (``is_current``) renews this entry's share
    of the retries.
    """
    state.quotas.entries = entries
    if is_current:
        state.retries.share.tell(entries, told_at)


def apply_totals(
    state: GatewayState,
    others: FleetTotals,
    now: float,
) -> None:
    """Apply the totals over all other entries."""
    state.loads.others_running = others.running
    state.loads.others_prefill = others.prefill
    state.loads.add_remote_failures(others.failed, now)


def follow_own_table(state: GatewayState) -> None:
    """Apply to this node the data that it computes as the home."""
    now = state.timers.now()
    report = state.own_report()
    state.apply_report(report, now)
    given = state.allocate_units(report.key, now)
    state.apply_given(given, report, now)
    apply_entry_count(
        state, state.fleet.size(now), now, is_current=state.is_home(now)
    )
    state.set_prefill_speeds(state.fleet.speeds())
    apply_totals(state, state.fleet.totals_except(report.key, now), now)
    follow_own_peers(state)
    observe_retries(state, now)
    log_factors(state, now)
    log_hot_parts(state, now)
