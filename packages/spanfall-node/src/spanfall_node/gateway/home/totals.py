"""Follow the sums over the other entries, for what is decided alone."""

from spanfall_core.gateway.known.fleet import FleetTotals

from spanfall_node.gateway.tables.state import GatewayState


def apply_totals(
    state: GatewayState,
    others: FleetTotals,
    now: float,
) -> None:
    """Follow the sums over all other entries."""
    state.loads.others_running = others.running
    state.loads.others_prefill = others.prefill
    state.loads.learn_failures(others.failed, now)
