"""Assemble a node from its parts and run it until it is told to stop."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import httpx
from anyio.abc import TaskGroup
from spanfall_api.frames import Hello
from spanfall_api.settings import Listen, NodeSettings

from spanfall_node.admin import Admin
from spanfall_node.admin_routes import build_admin_app
from spanfall_node.callers import Callers
from spanfall_node.catalog import Catalog
from spanfall_node.claim_store import ClaimStore
from spanfall_node.clients import new_http_client
from spanfall_node.cloud import CloudPort, HttpCloud
from spanfall_node.config_spread import ConfigSpread
from spanfall_node.config_store import ConfigStore
from spanfall_node.context import Context
from spanfall_node.delegates import Delegates
from spanfall_node.entry import Entry
from spanfall_node.etcd import EtcdKeyValue
from spanfall_node.heartbeats import Heartbeats
from spanfall_node.home import Home
from spanfall_node.keyvalue import KeyValue, StoreError
from spanfall_node.links import Links
from spanfall_node.members import Members
from spanfall_node.metrics import Metrics
from spanfall_node.notices import Notices
from spanfall_node.servers import AsgiApp, ServerLimits, serve_http
from spanfall_node.steady_clock import steady_seconds
from spanfall_node.timers import Timers

logger = logging.getLogger(__name__)

#: Seconds between two looks at whether a drain is done.
DRAIN_LOOK = 0.05
#: Share of the drain time after which streams are handed to other nodes.
DRAIN_SHARE = 0.6
#: Seconds in which handed-back requests are flushed.
FLUSH_SECONDS = 0.5
#: Seconds between two looks for claims that have expired.
CLEAN_SECONDS = 600.0
#: Seconds between two tries to load the configuration.
LOAD_PAUSE = 0.25


@dataclass(slots=True)
class Ports:
    """Tell on which ports a node listens, once it is started."""

    caller: int = 0
    admin: int = 0
    peer: int = 0


class Node:
    """Run one node: the entry, home and delegate roles and their servers."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: KeyValue | None = None,
        clock: Callable[[], float] = steady_seconds,
        cloud: CloudPort | None = None,
    ) -> None:
        """Take the settings; platform ports may be given in memory."""
        self.cfg = cfg
        self.ports = Ports()
        self.started = anyio.Event()
        self.stopped = anyio.Event()
        self.metrics = Metrics()
        self._store = store
        self._cloud = cloud
        self._clock = clock
        self._stop = anyio.Event()
        self._killed = anyio.CancelScope()

    def stop(self) -> None:
        """Begin a planned stop; the node drains and then returns."""
        self._stop.set()

    def kill(self) -> None:
        """Stop at once, as a crash would, for failure tests."""
        self._killed.cancel()

    async def run(self) -> None:
        """Run until stopped or killed."""
        try:
            with self._killed:
                await self._run()
        finally:
            self.started.set()
            self.stopped.set()

    async def _run(self) -> None:
        timers = Timers(self._clock, time.time)
        incarnation = int(time.time() * 1000)
        links = Links(
            Hello(node_id=self.cfg.node_id, incarnation=incarnation),
            self.metrics,
            self.cfg.limits,
            self.cfg.times,
        )
        timeout = httpx.Timeout(self.cfg.store.timeout_seconds)
        async with (
            new_http_client(timeout) as client,
            anyio.create_task_group() as tasks,
        ):
            store = self._store or EtcdKeyValue(
                client,
                self.cfg.store.url,
                self.cfg.store.prefix,
                self.metrics,
            )
            self.context = Context(
                self.cfg,
                timers,
                self.metrics,
                links,
                store,
                tasks,
                incarnation,
            )
            self._assemble(client)
            await self._start(tasks)
            await self._stop.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        await self.home.runs.calls.close()

    def _assemble(self, client: httpx.AsyncClient) -> None:
        context = self.context
        platform = self.cfg.platform
        cloud = self._cloud or HttpCloud(
            client,
            platform.cloud_url,
            platform.host_list_url,
        )
        self.catalog = Catalog()
        self.config = ConfigStore(context, self.catalog)
        self.members = Members(context)
        context.links.address_of = self.members.find_address
        self.spread = ConfigSpread(context, self.members, self.config)
        self.heartbeats = Heartbeats(context, self.members, self.spread)
        self.delegates = Delegates(
            context,
            self.members,
            self.heartbeats,
            self.spread,
        )
        self.claims = ClaimStore(context)
        self.home = Home(context, self.catalog, self.members, self.claims)
        self.entry = Entry(context, self.members)
        self.home.followers.adopt = self.entry.adopt
        self.home.followers.attach_copy = self.entry.attach_copy
        self.notices = Notices(context, self.members, self.spread, cloud)
        self.notices.listeners.append(self.home.upstream_leaves)
        self.home.spread_notice = self.notices.take
        self.callers = Callers(
            context,
            self.catalog,
            self.members,
            self.entry,
        )
        self.admin = Admin(context, self.catalog, self.members, self.config)
        self.callers.is_ready = self.is_ready
        self.admin.is_ready = self.is_ready
        self.admin.stop = self.stop

    async def _start(self, tasks: TaskGroup) -> None:
        context = self.context
        peer = self.cfg.peer
        listening = anyio.Event()
        tasks.start_soon(
            context.links.run,
            peer.host,
            peer.port,
            listening.set,
        )
        await listening.wait()
        self.ports.peer = context.links.port
        self.home.start()
        self.entry.start()
        self.members.address = (
            peer.advertise or f'{peer.host}:{self.ports.peer}'
        )
        self.spread.start()
        self.heartbeats.start()
        self.notices.start()
        tasks.start_soon(context.timers.run)
        tasks.start_soon(self._load_config)
        context.timers.every(CLEAN_SECONDS, self._clean_claims)
        tasks.start_soon(self.delegates.run)
        tasks.start_soon(self.notices.run)
        caller_app = self.callers.build_app()
        admin_app = build_admin_app(self.admin)
        self.ports.caller = await self._serve(caller_app, self.cfg.caller)
        self.ports.admin = await self._serve(admin_app, self.cfg.admin)
        logger.info(
            'Node %s listens: callers %s, admin %s, peers %s',
            context.node_id,
            self.ports.caller,
            self.ports.admin,
            self.ports.peer,
        )
        self.started.set()

    async def _serve(self, app: AsgiApp, listen: Listen) -> int:
        ports: list[int] = []
        bound = anyio.Event()

        def started(port: int) -> None:
            ports.append(port)
            bound.set()

        limits = self.cfg.limits
        self.context.tasks.start_soon(
            serve_http,
            app,
            listen.host,
            listen.port,
            started,
            ServerLimits(limits.header_bytes, limits.body_seconds),
        )
        await bound.wait()
        return ports[0]

    def _clean_claims(self, now: float) -> None:
        window = self.cfg.times.claim_window
        before = self.context.timers.epoch() - window
        self.context.tasks.start_soon(self.claims.clean_all, before)

    async def _load_config(self) -> None:
        """Load from the store; while it is away, peers may have it."""
        while not self.config.loaded:
            try:
                await self.config.load()
            except StoreError as exc:
                logger.info('No configuration from the store yet: %s', exc)
                await anyio.sleep(LOAD_PAUSE)

    def is_ready(self) -> bool:
        """Tell whether this node may take new requests."""
        if self.context.draining or not self.config.loaded:
            return False
        silent = self.context.timers.now() - self.config.heard_at
        if silent > self.cfg.times.isolation:
            return False
        return bool(self.members.table.records)

    async def _drain(self) -> None:
        """Take no new requests, let the short ones end, hand on the rest."""
        context = self.context
        context.draining = True
        logger.info('Stopping: draining for %s s at most', self.cfg.times.drain)
        context.timers.once(0, self.heartbeats.beat)
        self.home.handover.hand_back_queued()
        seconds = self.cfg.times.drain
        await self._wait_idle(seconds * DRAIN_SHARE)
        self.home.handover.hand_back_running()
        await anyio.sleep(FLUSH_SECONDS)
        self.callers.stopping.set()
        await self._wait_idle(seconds * (1 - DRAIN_SHARE))
        await anyio.sleep(FLUSH_SECONDS)

    async def _wait_idle(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            while self.home.held.load() or self.entry.load():
                await anyio.sleep(DRAIN_LOOK)
