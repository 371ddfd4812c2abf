"""Replay a trace: real nodes and adapters, stand-ins, callers from outside."""

import time
from collections.abc import Awaitable, Callable
from itertools import count

import anyio
import httpx
from spanfall_core.configuration import Edit
from spanfall_core.tables import ServiceKind
from spanfall_node.admin import check_object
from spanfall_node.clients import new_http_client
from spanfall_node.keyvalue import StoreError
from spanfall_node.node import Node
from spanfall_standins.deployments import DEPLOYMENTS, scale
from spanfall_standins.faulty_store import FaultyStore
from spanfall_standins.fleet import Fleet, FleetOptions, run_fleet

from spanfall_cli.caller_side import (
    chat_body,
    headers_of,
    is_final,
    note_refusal,
    note_reply,
    read_events,
)
from spanfall_cli.promises import (
    ANSWERED,
    Evidence,
    Outcome,
)
from spanfall_cli.replay_report import Report, check_evidence
from spanfall_cli.traces import FaultLine, Trace

#: Seconds that callers wait for the last answers.
TAIL_SECONDS = 60.0
#: Seconds in which a change must be in force everywhere (letter 1).
SPREAD_SECONDS = 7.0
#: Times that a caller comes back for an answer after a cut.
MAX_RETURNS = 8
RETURN_PAUSE = 0.3
TIMEOUT = 90
_ERROR = 400
#: Targets of node faults that are resolved when the fault comes.
HOME = 'home:'
GONE = 'gone'

Injector = Callable[[FaultLine], Awaitable[None]]


class Replay:
    """Run one trace against one fleet."""

    def __init__(self, trace: Trace, fleet: Fleet, store: FaultyStore) -> None:
        """Prepare the evidence."""
        self.evidence = Evidence([], [])
        self._trace = trace
        self._fleet = fleet
        self._store = store
        self._turn = count()
        self._labels = count(1)
        self._incarnations: dict[str, int] = {}

    async def run(self) -> None:
        """Send all requests and faults at their times, then wait."""
        begin = time.monotonic()
        with anyio.move_on_after(self._seconds() + TAIL_SECONDS):
            async with (
                new_http_client(httpx.Timeout(TIMEOUT)) as client,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._inject, begin)
                for line in self._trace.requests:
                    await sleep_until(begin + line.at)
                    outcome = Outcome(line, started=time.monotonic())
                    self.evidence.outcomes.append(outcome)
                    tasks.start_soon(self._ask, client, outcome)
        self.evidence.workers = self._fleet.all_workers()

    def _seconds(self) -> float:
        last = self._trace.requests[-1].at if self._trace.requests else 0
        faults = [row.at for row in self._trace.faults]
        return max([last, *faults])

    async def _inject(self, begin: float) -> None:
        async with anyio.create_task_group() as tasks:
            for line in self._trace.faults:
                await sleep_until(begin + line.at)
                tasks.start_soon(self._faults()[line.fault], line)

    def _faults(self) -> dict[str, Injector]:
        return {
            'reclaim': self._reclaim,
            'upstream-kill': self._kill_upstreams,
            'replace': self._replace,
            'node-kill': self._kill_nodes,
            'node-stop': self._stop_nodes,
            'node-start': self._start_nodes,
            'store-down': self._store_down,
            'store-up': self._store_up,
            'store-lose': self._store_lose,
            'change': self._change,
        }

    async def _reclaim(self, line: FaultLine) -> None:
        for name in line.targets:
            now = time.monotonic()
            self.evidence.announced.setdefault(name, []).append(now)
            incarnation = self._incarnations.get(name, 1)
            self._fleet.cloud.announce(name, incarnation, line.seconds)
        await anyio.sleep(line.seconds)
        for name in line.targets:
            self._fleet.hosts[name].kill()

    async def _kill_upstreams(self, line: FaultLine) -> None:
        for name in line.targets:
            self.evidence.kills.append(time.monotonic())
            self._fleet.hosts[name].kill()

    def _resolve(self, targets: tuple[str, ...]) -> list[str]:
        """Return the nodes that the targets of a fault name."""
        if targets == (GONE,):
            nodes = self._fleet.nodes.items()
            return [name for name, node in nodes if node.stopped.is_set()]
        return [
            self._fleet.acting_home(name.removeprefix(HOME)).cfg.node_id
            if name.startswith(HOME)
            else name
            for name in targets
        ]

    async def _replace(self, line: FaultLine) -> None:
        for name in line.targets:
            incarnation = self._incarnations.get(name, 1) + 1
            self._incarnations[name] = incarnation
            now = time.monotonic()
            self.evidence.replaced.setdefault(name, []).append(now)
            await self._fleet.replace_worker(name)
            edit = self._fleet.worker_edit(name, incarnation)
            await self._accept(edit)

    async def _kill_nodes(self, line: FaultLine) -> None:
        for name in self._resolve(line.targets):
            self.evidence.kills.append(time.monotonic())
            self._fleet.nodes[name].kill()

    async def _stop_nodes(self, line: FaultLine) -> None:
        for name in self._resolve(line.targets):
            self.evidence.stopped.add(name)
            self._fleet.nodes[name].stop()

    async def _start_nodes(self, line: FaultLine) -> None:
        places = dict(self._fleet.plan.node_places())
        for name in self._resolve(line.targets):
            await self._fleet.nodes[name].stopped.wait()
            await self._fleet.start_node(name, places[name])

    async def _store_down(self, line: FaultLine) -> None:
        self._store.down = True

    async def _store_up(self, line: FaultLine) -> None:
        self._store.down = False

    async def _store_lose(self, line: FaultLine) -> None:
        self._store.lose = 3

    async def _change(self, line: FaultLine) -> None:
        """Change a workspace that is not used, and see it spread."""
        label = f'step-{next(self._labels)}'
        document = {'name': 'trace-probe', 'labels': {'step': label}}
        await self._accept(check_object('workspaces', document))
        with anyio.move_on_after(SPREAD_SECONDS):
            while not self._is_in_force(label):
                await anyio.sleep(RETURN_PAUSE)
        self.evidence.changes.append((label, self._is_in_force(label)))

    def _is_in_force(self, label: str) -> bool:
        return all(
            'trace-probe' in node.catalog.workspaces
            and node.catalog.workspaces['trace-probe'].labels['step'] == label
            for node in self._fleet.live_nodes()
            if node.is_ready()
        )

    async def _accept(self, edit: Edit) -> None:
        while True:
            node = self._next_node()
            try:
                await node.config.accept([edit], 'replay', f'op-{id(edit)}')
            except StoreError:
                await anyio.sleep(RETURN_PAUSE)
            else:
                return

    def _next_node(self) -> Node:
        """Return a ready node in turn, as the platform's balancer would."""
        nodes = self._fleet.live_nodes()
        ready = [node for node in nodes if node.is_ready()] or nodes
        return ready[next(self._turn) % len(ready)]

    async def _ask(self, client: httpx.AsyncClient, row: Outcome) -> None:
        ask = self._ask_call
        if row.line.kind is ServiceKind.MODEL:
            ask = self._ask_model
        for _ in range(MAX_RETURNS):
            node = self._next_node()
            row.entries.add(node.cfg.node_id)
            try:
                done = await ask(client, node, row)
            except httpx.HTTPError as exc:
                row.detail = repr(exc)
                row.cut_at.append(node.cfg.node_id)
                done = is_final(row, exc)
            if done:
                return
            await anyio.sleep(RETURN_PAUSE)

    async def _ask_call(
        self,
        client: httpx.AsyncClient,
        node: Node,
        row: Outcome,
    ) -> bool:
        line = row.line
        headers = headers_of(line)
        if line.key:
            headers['Idempotency-Key'] = line.key
        url = self._fleet.caller_url(node)
        reply = await client.request(
            line.method,
            f'{url}/services/{line.service}/jobs/{line.name}',
            headers=headers,
            content=line.name.encode(),
        )
        note_reply(row, reply)
        row.text = reply.text
        if reply.status_code >= _ERROR:
            note_refusal(row, reply.content)
        else:
            row.state = ANSWERED
        return True

    async def _ask_model(
        self,
        client: httpx.AsyncClient,
        node: Node,
        row: Outcome,
    ) -> bool:
        url = self._fleet.caller_url(node)
        headers = headers_of(row.line)
        if row.request_ids:
            headers['Last-Event-ID'] = str(row.text.count(' '))
            request = client.build_request(
                'GET',
                f'{url}/v1/requests/{next(iter(row.request_ids))}',
                headers=headers,
            )
        else:
            request = client.build_request(
                'POST',
                f'{url}/v1/chat/completions',
                headers=headers,
                json=chat_body(row.line),
            )
        reply = await client.send(request, stream=True)
        try:
            return await read_events(reply, row)
        finally:
            await reply.aclose()


async def sleep_until(at: float) -> None:
    """Sleep until a time of the monotonic clock."""
    await anyio.sleep(max(0, at - time.monotonic()))


async def run_replay(
    trace: Trace,
    mechanisms_off: tuple[str, ...] = (),
    policy: str = 'score',
) -> Report:
    """Replay a trace and check it."""
    plan = scale(
        DEPLOYMENTS[trace.setup.deployment],
        trace.setup.workers_factor,
    )
    options = FleetOptions(
        engine=trace.setup.engine,
        worker=trace.setup.worker,
        mechanisms_off=mechanisms_off,
        policy=policy,
    )
    store = FaultyStore()
    async with run_fleet(plan, options, store) as fleet:
        replay = Replay(trace, fleet, store)
        await replay.run()
    return check_evidence(trace, replay.evidence)
