"""Each worker of a service is cut from the store once; its entry lapses."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig'))
from platform_standins import read_message
from world import TROUBLE, CannotRunError, run

HEARTBEAT = 1.2
#: When each worker's cut begins, and how long it lasts; as in day.toml.
CUTS, CUT_SECONDS = (0.5, 3.0, 5.5, 8.0), 5.0
GATEWAYS, LENGTH = 2, 96.0
#: Requesters of each kind of request, and their pause; one in four is of the
#: service whose workers are cut, as on the site.
REQUESTERS, PAUSE = {'cut': 4, 'calm': 12}, 0.25
SERVICES = [
    {'name': 'taquilla', 'health_path': '/healthz', 'max_conns': 110},
    {'name': 'texto', 'health_path': '/healthz', 'max_conns': 250},
]


def route(name, service):
    return {
        'name': f'r-{name}', 'hostname': 'app.example', 'path_prefix': f'/{name}/',
        'route_kind': 'idempotent', 'timeout_ms': 1500, 'latency_slo_ms': 400,
        'priority': 1, 'service': service, 'max_attempts': 2, 'anonymous': True,
    }


class Worker:
    """A sound worker that keeps its entry in the store, if it reaches it."""

    def __init__(self, world, name, service):
        self.world, self.name, self.service = world, name, service
        self.beats, self.runs = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}'
        self.write()
        return self

    def write(self):
        """Write the entry, always under the same id."""
        self.beats += 1
        self.world.store.put(
            f'servers/{self.name}',
            {
                'service': self.service, 'address': self.address, 'zone': 'barranco',
                'version': 'v1', 'slots': 6, 'state': 'ready', 'warmup_left_ms': 0,
                'sequence': self.beats,
            },
        )

    async def cut(self):
        """Be cut from the store: the entry lapses after three heartbeats."""
        self.world.record(f'{self.name} is cut from the store')
        await asyncio.sleep(3 * HEARTBEAT)
        self.world.store.delete(f'servers/{self.name}')
        self.world.record(f'the store removed the entry of {self.name}')
        await asyncio.sleep(CUT_SECONDS - 3 * HEARTBEAT + HEARTBEAT / 2)
        self.write()
        self.world.record(f'{self.name} has written its entry again, as ready')

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                headers = message[1]
                if headers.get('x-expect-instance', self.name) != self.name:
                    writer.write(b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n')
                    continue
                attempt = headers['x-attempt-id']
                self.runs += 1
                await asyncio.sleep(0.02)
                writer.write(
                    f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
                    f'X-Response-Seal: {self.name}.{attempt}\r\nContent-Length: 2\r\n\r\nok'.encode()
                )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def ask(port, kind, attempt):
    """Send one request; return its status."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(
            f'GET /{kind}/{attempt} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {attempt}\r\n'
            f'X-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n'.encode()
        )
        line = await asyncio.wait_for(reader.readline(), 3)
        return int(line.split()[1]) if line else 'closed'
    except (OSError, asyncio.TimeoutError):
        return 'closed'
    finally:
        writer.close()


async def requester(world, kind, number, until, answers):
    """Send requests; one that gets 503 comes back once, at another gateway."""
    index = 0
    while time.monotonic() < until:
        attempt = f'{kind}-{number}-{index}'
        index += 1
        sent_at = time.monotonic()
        status = await ask(world.gateways[number % GATEWAYS].port, kind, attempt)
        if status == 503:
            await asyncio.sleep(0.1)
            other = world.gateways[(number + 1) % GATEWAYS]
            status = await ask(other.port, kind, f'{attempt}-again')
        answers.append((sent_at, kind, status))
        await asyncio.sleep(PAUSE)


async def play(world):
    cut = [await Worker(world, f'i-cut-{n}', 'taquilla').start() for n in range(len(CUTS))]
    calm = [await Worker(world, f'i-calm-{n}', 'texto').start() for n in range(4)]
    world.configure([route('cut', 'taquilla'), route('calm', 'texto')], SERVICES)
    await world.start_gateways(GATEWAYS)
    await asyncio.sleep(4)
    began = time.monotonic()
    answers = []

    async def cut_later(worker, at):
        await asyncio.sleep(at)
        await worker.cut()

    async with asyncio.TaskGroup() as tasks:
        for kind, count in REQUESTERS.items():
            for number in range(count):
                tasks.create_task(requester(world, kind, number, began + LENGTH, answers))
        if TROUBLE:
            for worker, at in zip(cut, CUTS, strict=True):
                tasks.create_task(cut_later(worker, at))
    for second in range(0, int(LENGTH), 5):
        rows = [row for row in answers if second <= row[0] - began < second + 5]
        shares = {
            kind: f'{sum(row[2] == 200 for row in rows if row[1] == kind)} of '
            f'{sum(row[1] == kind for row in rows)}'
            for kind in REQUESTERS
        }
        world.record(f'sent from {second} s on, served: {shares}')
    served = {
        kind: [row[2] == 200 for row in answers if row[1] == kind] for kind in REQUESTERS
    }
    share = {kind: sum(rows) / len(rows) for kind, rows in served.items()}
    overall = sum(row[2] == 200 for row in answers) / len(answers)
    world.record(f'runs: {({worker.name: worker.runs for worker in (*cut, *calm)})}')
    world.record(f'served: {share}, of all {overall:.3f}')
    if share['calm'] < 0.9:
        raise CannotRunError('requests of the other service failed')
    return share['cut'] < overall / 4


run(__file__, play)
