"""Run a whole deployment in one process: nodes, store and stand-ins.

Nodes are real and talk over loopback links; used by demo, tests and bench.
"""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from spanfall_api.settings import (
    AdminListen,
    AdminToken,
    Limits,
    NodeSettings,
    Role,
    Seed,
    Store,
    Times,
)
from spanfall_core.configuration import Edit
from spanfall_core.tables import ServiceKind
from spanfall_node.admin import check_object
from spanfall_node.catalog import hash_token
from spanfall_node.embedded import EmbeddedKeyValue
from spanfall_node.keyvalue import KeyValue
from spanfall_node.node import Node

from spanfall_standins.application import Application, WorkerSpeed
from spanfall_standins.cloud import Cloud
from spanfall_standins.deployments import (
    Deployment,
    PoolPlan,
    service_object,
    upstream_object,
    workspace_object,
)
from spanfall_standins.engine import Engine, EngineSpeed
from spanfall_standins.servers import Host

ADMIN_TOKEN = 'admin-token'
#: Seconds for all nodes to become ready.
READY_SECONDS = 20
LOOK_SECONDS = 0.02

Worker = Engine | Application
KindAndDocument = tuple[str, dict[str, Any]]


@dataclass(slots=True)
class FleetOptions:
    """Set the pace of a fleet and what is switched off in it."""

    engine: EngineSpeed = field(default_factory=EngineSpeed)
    worker: WorkerSpeed = field(default_factory=WorkerSpeed)
    times: Times = field(default_factory=Times)
    limits: Limits = field(default_factory=Limits)
    mechanisms_off: tuple[str, ...] = ()
    policy: str = 'score'


class Fleet:
    """Hold the running parts of a deployment."""

    def __init__(
        self,
        plan: Deployment,
        tasks: TaskGroup,
        options: FleetOptions,
        store: KeyValue,
    ) -> None:
        """Prepare; ``start`` starts everything."""
        self.plan = plan
        self.nodes: dict[str, Node] = {}
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, Host] = {}
        self.retired: list[Worker] = []
        self.store = store
        self.cloud = Cloud(time.monotonic)
        self._tasks = tasks
        self._options = options

    async def start(self) -> None:
        """Start stand-ins and nodes, and wait until all are ready."""
        for pool in self.plan.pools:
            for name, _ in self.plan.worker_names(pool):
                await self.start_worker(pool, name)
        for node_id, place in self.plan.node_places():
            await self.start_node(node_id, place)
        await self.wait_ready()
        await self.configure()

    async def start_worker(self, pool: PoolPlan, name: str) -> None:
        """Start one upstream stand-in."""
        if pool.kind is ServiceKind.MODEL:
            worker: Worker = Engine(name, self._options.engine)
        else:
            worker = Application(name, self._options.worker)
        host = Host(worker.build_app())
        await host.start(self._tasks)
        before = self.workers.get(name)
        if before is not None:
            self.retired.append(before)
        self.workers[name] = worker
        self.hosts[name] = host

    async def replace_worker(self, name: str) -> None:
        """Start a new worker in place of one that is gone."""
        pool, _, _ = self._find_worker(name)
        await self.start_worker(pool, name)

    def worker_edit(self, name: str, incarnation: int) -> Edit:
        """Return the edit that names a new worker to the nodes."""
        pool, place, number = self._find_worker(name)
        row = self._upstream(pool, name, place, number)
        return check_object('upstreams', {**row, 'incarnation': incarnation})

    def _find_worker(self, name: str) -> tuple[PoolPlan, str, int]:
        return next(
            (pool, place, number)
            for pool in self.plan.pools
            for number, (found, place) in enumerate(
                self.plan.worker_names(pool),
                1,
            )
            if found == name
        )

    def all_workers(self) -> list[Worker]:
        """Return all workers that ran, also those that were replaced."""
        return [*self.retired, *self.workers.values()]

    async def start_node(self, node_id: str, place: str) -> Node:
        """Start one node and wait until it listens."""
        settings = self.node_settings(node_id, place)
        node = Node(settings, self.store, cloud=self.cloud)
        self.nodes[node_id] = node
        self._tasks.start_soon(node.run)
        await node.started.wait()
        return node

    def node_settings(self, node_id: str, place: str) -> NodeSettings:
        """Return the settings of a node of this fleet."""
        token = AdminToken(
            name='demo',
            token_hash=hash_token(ADMIN_TOKEN),
            role=Role.ADMIN,
        )
        return NodeSettings(
            node_id=node_id,
            data_centre=place,
            admin=AdminListen(tokens=(token,)),
            store=Store(kind='embedded'),
            seeds=tuple(
                Seed(
                    node_id=node.cfg.node_id,
                    data_centre=node.cfg.data_centre,
                    address=f'127.0.0.1:{node.ports.peer}',
                )
                for node in self.live_nodes()
            ),
            times=self._options.times,
            limits=self._options.limits,
            mechanisms_off=self._options.mechanisms_off,
            policy=self._options.policy,
        )

    async def wait_ready(self) -> None:
        """Wait until all nodes know each other and are ready."""
        with anyio.fail_after(READY_SECONDS):
            while not all(map(self._is_settled, self.nodes.values())):
                await anyio.sleep(LOOK_SECONDS)

    async def configure(self) -> None:
        """Put the objects of the deployment and wait until they are known."""
        first = next(iter(self.nodes.values()))
        edits = [check_object(kind, row) for kind, row in self.objects()]
        revision = await first.config.accept(edits, 'fleet', 'fleet-objects')
        await self.wait_revision(revision)

    async def wait_revision(self, revision: int) -> None:
        """Wait until a revision is in force at all nodes."""
        with anyio.fail_after(READY_SECONDS):
            while self.lowest_revision() < revision:
                await anyio.sleep(LOOK_SECONDS)

    def lowest_revision(self) -> int:
        """Return the lowest revision in force at any live node."""
        return min(
            node.config.state.revision
            for node in self.nodes.values()
            if not node.stopped.is_set()
        )

    def objects(self) -> list[KindAndDocument]:
        """Return kind and document of all objects of the deployment."""
        rows = [
            ('workspaces', workspace_object(name))
            for name in self.plan.workspaces
        ]
        for pool in self.plan.pools:
            rows.append(('services', service_object(self.plan, pool)))
            rows.extend(
                ('upstreams', self._upstream(pool, name, place, number))
                for number, (name, place) in enumerate(
                    self.plan.worker_names(pool),
                    1,
                )
            )
        return rows

    def live_nodes(self) -> list[Node]:
        """Return the nodes that run."""
        return [row for row in self.nodes.values() if not row.stopped.is_set()]

    def caller_url(self, node: Node) -> str:
        """Return where callers reach a node."""
        return f'http://127.0.0.1:{node.ports.caller}'

    def acting_home(self, service: str) -> Node:
        """Return the node that is the acting home of a service."""
        homes = self.live_nodes()[0].members.homes_of(service)
        return self.nodes[homes[0]]

    def entry_apart_from(self, node: Node) -> Node:
        """Return a live node other than the given one."""
        return next(row for row in self.live_nodes() if row is not node)

    def _upstream(
        self,
        pool: PoolPlan,
        name: str,
        place: str,
        number: int,
    ) -> dict[str, Any]:
        address = self.hosts[name].address
        return upstream_object(pool, name, place, number, address)

    def _is_settled(self, node: Node) -> bool:
        count = len(node.members.table.records) and sum(
            len(record.members)
            for record in node.members.table.records.values()
        )
        live = sum(not row.stopped.is_set() for row in self.nodes.values())
        return node.stopped.is_set() or (node.is_ready() and count == live)


@asynccontextmanager
async def run_fleet(
    plan: Deployment,
    options: FleetOptions | None = None,
    store: KeyValue | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet for the time of a context; everything is killed after."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(
            plan,
            tasks,
            options or FleetOptions(),
            store or EmbeddedKeyValue(time.monotonic),
        )
        try:
            await fleet.start()
            yield fleet
        finally:
            tasks.cancel_scope.cancel()


__all__ = ('ADMIN_TOKEN', 'Fleet', 'FleetOptions', 'run_fleet')
