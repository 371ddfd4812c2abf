"""Build the state of a node that starts."""

from spanfall_api.gateway_settings import GatewaySettings
from spanfall_core.gateway.crashes.crash_signs import MISSED_HEARTBEATS
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.freshness import Freshness
from spanfall_core.gateway.known.true_time import TrueTime
from spanfall_core.gateway.known.usage import UsageCounts
from spanfall_core.gateway.limits.memory_budget import MemoryBudget
from spanfall_core.gateway.limits.quotas import Quotas
from spanfall_core.gateway.routing.allowance_share import AllowanceShare
from spanfall_core.gateway.routing.retry_budget import RetryBudget, RetryLimits

from spanfall_node.gateway.net.ports import PlatformAdapter
from spanfall_node.gateway.net.sockets import TCP_USER_TIMEOUT_SECONDS
from spanfall_node.gateway.tables.counters import Counters
from spanfall_node.gateway.tables.scheduling import Scheduling
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.upstream_words import UpstreamStatements
from spanfall_node.timers import Timers


def build_state(
    cfg: GatewaySettings,
    platform: PlatformAdapter,
    timers: Timers,
    incarnation: str,
) -> GatewayState:
    """Build the initial state of a node that has just started."""
    words = UpstreamStatements()
    state = GatewayState(
        cfg=cfg,
        platform=platform,
        timers=timers,
        incarnation=incarnation,
        counters=Counters(),
        freshness=Freshness(
            cfg.bounds.revoke_seconds,
            revocation_binds=cfg.bounds.revocation_binds,
        ),
        quotas=Quotas(entries=cfg.assumed_entries),
        retries=RetryBudget(
            RetryLimits(
                cfg.bounds.retry_ratio,
                cfg.bounds.retry_allowance,
                cfg.bounds.retry_window_seconds,
                delivery=TCP_USER_TIMEOUT_SECONDS,
            ),
            AllowanceShare(
                cfg.bounds.retry_window_seconds + TCP_USER_TIMEOUT_SECONDS,
                cfg.home_lease_seconds,
                started_at=timers.now(),
            ),
        ),
        usage=UsageCounts(cfg.bounds.usage_window_seconds),
        true_time=TrueTime(timers.epoch() - timers.now()),
        words=words,
        scheduling=Scheduling(cfg.scheduling),
        directory=Directory(words.table.leaving),
        memory=MemoryBudget(cfg.host.body_bytes),
    )
    lapse_seconds = MISSED_HEARTBEATS * cfg.upstream_heartbeat_seconds
    state.directory.versions.max_gap = lapse_seconds
    state.counters.open_requests.set_function(lambda: state.open_requests)
    _observe_held(state)
    state.crashes.is_judge = lambda: state.tenure is not None
    return state


def _observe_held(state: GatewayState) -> None:
    """Let gauges show the requests of this node that are held."""
    rows = (state.contention.held, state.contention.own_held)
    counters = state.counters
    counters.scheduling.held_now.set_function(lambda: sum(map(len, rows)))
    counters.scheduling.longest_hold.set_function(
        lambda: max(row.longest_wait(state.timers.now()) for row in rows)
    )
