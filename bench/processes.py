"""Run nodes and stand-ins as processes, and read what they consume."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import httpx
from prometheus_client.parser import text_string_to_metric_families
from spanfall_standins.deployments import Deployment
from spanfall_standins.examples import (
    ADMIN_OFFSET,
    ADMIN_TOKEN,
    CALLER_OFFSET,
    node_document,
    object_document,
    standin_document,
)

BASE_PORT = 23_000
READY_SECONDS = 60
LOOK_SECONDS = 0.1
STOP_SECONDS = 10
_READY = 200


@dataclass(slots=True)
class Processes:
    """Hold the processes of one deployment."""

    plan: Deployment
    folder: Path
    rows: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def admin(self, number: int) -> str:
        """Return the admin address of a node."""
        return f'http://127.0.0.1:{BASE_PORT + ADMIN_OFFSET + number}'

    def caller(self, number: int) -> str:
        """Return the caller address of a node."""
        return f'http://127.0.0.1:{BASE_PORT + CALLER_OFFSET + number}'

    def start(self, module: str, name: str, document: object) -> None:
        """Start a module with settings of its own."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(document), 'utf-8')
        row = subprocess.Popen(
            [sys.executable, '-m', module, '--settings', str(path)],
            stderr=subprocess.DEVNULL,
        )
        self.rows.append(row)

    def wait_ready(self) -> None:
        """Wait until all nodes are ready."""
        deadline = time.monotonic() + READY_SECONDS
        for number in range(self.plan.nodes):
            while not self.is_ready(number):
                if time.monotonic() > deadline:
                    raise TimeoutError(self.admin(number))
                time.sleep(LOOK_SECONDS)

    def is_ready(self, number: int) -> bool:
        """Tell whether a node is ready."""
        try:
            reply = httpx.get(f'{self.admin(number)}/readyz')
        except httpx.HTTPError:
            return False
        return reply.status_code == _READY

    def apply(self, slots: float) -> None:
        """Put the objects of the deployment and wait until all have them."""
        objects = object_document(self.plan, BASE_PORT)
        for row in objects:
            if row['kind'] == 'upstreams':
                row['object']['slots'] = int(slots)
        headers = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        reply = httpx.post(
            f'{self.admin(0)}/admin/v1/apply',
            headers=headers,
            json={'objects': objects},
        )
        reply.raise_for_status()
        while not all(map(self._has_objects, range(self.plan.nodes))):
            time.sleep(LOOK_SECONDS)

    def homes(self, service: str) -> list[int]:
        """Return the numbers of the homes of a service, acting one first."""
        reply = httpx.post(
            f'{self.admin(0)}/admin/v1/explain',
            headers={'Authorization': f'Bearer {ADMIN_TOKEN}'},
            json={'workspace': self.plan.workspaces[0], 'name': service},
        )
        names = [node_id for node_id, _ in self.plan.node_places()]
        return [names.index(node_id) for node_id in reply.json()['homes']]

    def metric(self, number: int, name: str) -> float:
        """Return the sum of a metric of a node over its labels."""
        text = httpx.get(f'{self.admin(number)}/metrics').text
        return sum(
            sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name == name
        )

    def cpu(self, number: int) -> float:
        """Return the processor seconds that a node has used."""
        return self.metric(number, 'process_cpu_seconds_total')

    def memory(self, number: int) -> float:
        """Return the resident bytes of a node."""
        return self.metric(number, 'process_resident_memory_bytes')

    def _has_objects(self, number: int) -> bool:
        return self.metric(number, 'spanfall_config_revision') > 0


@contextmanager
def run_processes(
    plan: Deployment,
    speed: dict[str, float],
) -> Iterator[Processes]:
    """Run a deployment for the time of a context."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Processes(plan, Path(folder))
        try:
            _start_all(fleet, speed)
            yield fleet
        finally:
            for row in fleet.rows:
                row.kill()
            for row in fleet.rows:
                row.wait(STOP_SECONDS)


def _start_all(fleet: Processes, speed: dict[str, float]) -> None:
    standins = standin_document(fleet.plan, BASE_PORT)
    engines = standins.pop('engines')
    fleet.start('spanfall_standins', 'store', standins)
    for engine in engines:
        engine['speed'] = speed
        name = engine['name']
        fleet.start('spanfall_standins', name, {'engines': [engine]})
    for number in range(fleet.plan.nodes):
        document = node_document(fleet.plan, number, BASE_PORT)
        fleet.start('spanfall_node', f'node-{number}', document)
    fleet.wait_ready()
    fleet.apply(speed['slots'])
