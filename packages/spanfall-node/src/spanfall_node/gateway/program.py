"""Run a gateway: build its state and start all components."""

import importlib
import logging
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from spanfall_api.gateway_settings import GatewaySettings

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.callers.intake_gate import IntakeGate
from spanfall_node.gateway.duties.capacity_duty import CapacityPlanner
from spanfall_node.gateway.duties.duties import CloudClient, UsageReporter
from spanfall_node.gateway.home.entry_link import EntryLink
from spanfall_node.gateway.home.home_links import HomeLinks
from spanfall_node.gateway.home.leadership import Leadership
from spanfall_node.gateway.home.request_clients import RequestClients
from spanfall_node.gateway.home.stream_rows import StreamRows
from spanfall_node.gateway.lifecycle import StatusServer, stop_on_signal
from spanfall_node.gateway.limits.unit_requests import UnitClient
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.host_limits import host_limits
from spanfall_node.gateway.net.listening import Listener
from spanfall_node.gateway.net.logs import LogRateLimiter, set_up_logging
from spanfall_node.gateway.net.pool import ConnectionPool, Dial
from spanfall_node.gateway.net.ports import PlatformAdapter
from spanfall_node.gateway.settings_watch import SettingsWatch
from spanfall_node.gateway.store.crash_record import CrashRecord
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.store.home_records import HomeRecords
from spanfall_node.gateway.store.needs_record import NeedsRecord
from spanfall_node.gateway.store.quota_record import QuotaRecord
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.store.version_record import VersionRecord
from spanfall_node.gateway.tables.new_state import build_state
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.crash_watch import CrashDetector
from spanfall_node.gateway.upstreams.grants import GrantClient
from spanfall_node.gateway.upstreams.paths import UpstreamPaths
from spanfall_node.gateway.upstreams.stream_lookup import OriginClient
from spanfall_node.gateway.upstreams.tunnel_server import TunnelServer
from spanfall_node.gateway.upstreams.watched_sends import UpstreamAccess
from spanfall_node.steady_clock import SteadyLoop, steady_seconds
from spanfall_node.timers import Timers

logger = logging.getLogger(__name__)

#: A component, which runs until cancelled.
Part = Callable[[], Awaitable[None]]

#: Bytes of the random identifier of one run of the process.
INCARNATION_BYTES = 6
#: Seconds before a failed component is restarted.
RESTART_SECONDS = 0.5


def load_adapter(module_name: str) -> PlatformAdapter:
    """Import the adapter of the configured platform."""
    return importlib.import_module(module_name).ADAPTER


def run_gateway(cfg: GatewaySettings, path: Path) -> None:
    """Run a gateway in the foreground until it receives a stop signal."""
    timers = Timers(steady_seconds, time.time)
    state = build_state(
        cfg,
        load_adapter(cfg.platform),
        timers,
        secrets.token_hex(INCARNATION_BYTES),
    )
    rate_limiter = LogRateLimiter(
        timers.now,
        cfg.log_lines_per_second,
        state.counters.dropped_logs,
    )
    set_up_logging(rate_limiter, cfg.node)
    options = {'loop_factory': SteadyLoop}
    anyio.run(_run, state, path, backend_options=options)


@dataclass(slots=True)
class Gateway:
    """Hold the components of a running gateway that its shutdown needs."""

    state: GatewayState
    callers: Callers
    leadership: Leadership
    #: Accept connections, those of callers first.
    listeners: list[Listener]


async def _run(state: GatewayState, path: Path) -> None:
    logger.info('Gateway is starting in data centre %s', state.cfg.data_centre)
    async with anyio.create_task_group() as tasks:
        gateway = start_gateway(state, tasks)
        tasks.start_soon(SettingsWatch(state, path).run)
        tasks.start_soon(
            stop_on_signal,
            state,
            gateway.callers,
            gateway.leadership,
            tasks.cancel_scope,
        )
    logger.info('Gateway has stopped')


def start_gateway(
    state: GatewayState, tasks: TaskGroup, dial: Dial = connect
) -> Gateway:
    """Start all components of the gateway in a task group of the caller.

    ``dial`` opens connections to upstreams.
    """
    pool = ConnectionPool(tasks)
    store = StoreClient(state, pool)
    sync = Sync(state, store)
    units = UnitClient(state)
    paths = UpstreamPaths(state, dial)
    access = _reach_upstreams(state, paths, sync.reads, tasks)
    callers = Callers(state, access, units)
    records = _home_records(state, store)
    leadership = Leadership(state, store, records)
    gate = IntakeGate(state)
    listeners = _listeners(state, callers, gate, dial)
    parts = [
        *[listener.run for listener in listeners],
        HomeLinks(state, sync.reads).run,
        state.timers.run,
        gate.run,
        sync.run,
        leadership.run,
        records.spending.run,
        records.needs.run,
        records.crashes.run,
        records.versions.run,
        StreamRows(state, store).run,
        access.crash_detector.probe_unanswered,
        access.crash_detector.resolve_suspected_crashes,
        partial(paths.check_paths, access.pool),
        EntryLink(
            state,
            sync,
            RequestClients(
                access.grants, units, access.crash_detector, access.origins
            ),
        ).run,
    ]
    if state.cfg.reports_usage:
        parts.append(UsageReporter(state, store, CloudClient(state, pool)).run)
    if state.cfg.orders_upstreams:
        parts.append(CapacityPlanner(state, CloudClient(state, pool)).run)
    _start_parts(tasks, parts)
    return Gateway(state, callers, leadership, listeners)


def _reach_upstreams(
    state: GatewayState,
    paths: UpstreamPaths,
    reads: FreshReads,
    tasks: TaskGroup,
) -> UpstreamAccess:
    pool = ConnectionPool(tasks, paths.open, paths.may_reuse)
    watch = CrashDetector(state, pool, paths.open)
    origins = OriginClient(state, reads)
    return UpstreamAccess(pool, GrantClient(state), watch, origins)


def _home_records(state: GatewayState, store: StoreClient) -> HomeRecords:
    return HomeRecords(
        QuotaRecord(state, store),
        NeedsRecord(state, store),
        CrashRecord(state, store),
        VersionRecord(state, store),
    )


def _listeners(
    state: GatewayState,
    callers: Callers,
    gate: IntakeGate,
    dial: Dial,
) -> list[Listener]:
    listen, limits = state.cfg.listen, host_limits(state.cfg.host)
    new_table = partial(
        ConnectionTable,
        now=state.timers.now,
        closed=state.counters.connections.closed_for_room,
    )
    status = StatusServer(state).serve_connection
    rows = [
        Listener(
            listen.callers,
            new_table(limits.callers),
            callers.serve_connection,
            gate.takes,
        ),
        Listener(
            listen.readiness,
            new_table(limits.status, is_brief=True),
            status,
        ),
    ]
    if listen.metrics:
        table = new_table(limits.status, is_brief=True)
        rows.append(Listener(listen.metrics, table, status))
    if listen.tunnels:
        table = new_table(limits.tunnels + limits.status)
        tunnels = TunnelServer(state, dial)
        rows.append(Listener(listen.tunnels, table, tunnels.serve_connection))
    return rows


def _start_parts(tasks: TaskGroup, parts: Iterable[Part]) -> None:
    for part in parts:
        tasks.start_soon(_restart_on_failure, part)


async def _restart_on_failure(part: Part) -> None:
    """Run a component and restart it when it fails or ends."""
    while True:
        try:
            await part()
        except Exception:
            logger.exception('A component failed; restarting it')
        await anyio.sleep(RESTART_SECONDS)
