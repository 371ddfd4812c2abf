"""A late second answer arrives while the body of the next request is sent."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'rig'))
from world import TROUBLE, CannotRunError, run

#: One of two workers sends one of so many answers twice (0.03 of them, of half
#: of the workers), for 5 s at a time with pauses of 5 s.
EVERY = 34
WORKERS, PERIODS, SECONDS = 2, 4, 5.0
BODY_BYTES = 2_000_000
CHANNELS = 8
ROUTE = {
    'name': 'r-job', 'hostname': 'app.example', 'path_prefix': '/job/',
    'route_kind': 'non_idempotent', 'timeout_ms': 5000, 'latency_slo_ms': 1000,
    'priority': 1, 'service': 'taquilla', 'max_attempts': 1, 'anonymous': True,
}
SERVICE = {'name': 'taquilla', 'health_path': '/healthz', 'max_conns': 110}


class Worker:
    """Answer each request; of some answers a copy follows, late.

    The copy comes where the next answer on the channel is expected, and bears
    the id of the request that it belongs to.
    """

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.is_disturbed = False
        self.answers = 0
        self.copies = 0
        self.heads, self.runs = [], []

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.server = server
        self.address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
        return self

    async def _serve(self, reader, writer):
        copy = b''
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in head.decode('latin-1').split('\r\n')[1:-2]
                )
                attempt = fields['x-attempt-id']
                if fields['x-expect-instance'] != self.name:
                    raise ConnectionError
                self.heads.append(attempt)
                if copy:
                    self.record(f'{self.name}: a second answer, late, before that to {attempt}')
                    writer.write(copy)
                    copy = b''
                    self.copies += 1
                await reader.readexactly(int(fields.get('content-length', 0)))
                self.runs.append(attempt)
                await asyncio.sleep(0.005)
                answer = (
                    f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n'
                    f'X-Response-Seal: seal.{attempt}\r\nContent-Length: 4\r\n\r\ndone'
                ).encode()
                writer.write(answer)
                await writer.drain()
                self.answers += self.is_disturbed
                if self.is_disturbed and not self.answers % EVERY:
                    copy = answer
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(reader, writer, attempt):
    """Send one request on a kept channel; return the status, or None."""
    writer.write(
        b'POST /job/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %b\r\n'
        b'X-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n' % (attempt.encode(), BODY_BYTES)
    )
    writer.write(b'j' * BODY_BYTES)
    try:
        await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 8)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    await reader.readexactly(length)
    return int(head.split(b' ')[1])


async def requester(world, port, number, results, until):
    """Send requests one after the other, on a kept channel."""
    streams, used, index = None, 0, 0
    while asyncio.get_running_loop().time() < until:
        attempt = f'{number}-{index}'
        index += 1
        if streams is None:
            streams, used = await asyncio.open_connection('127.0.0.1', port), 0
        status = await call(*streams, attempt)
        results[attempt] = (status, used)
        used += 1
        if status != 200:
            world.record(f'{attempt}: {status or "channel closed without an answer"}')
        if status is None:
            streams[1].close()
            streams = None
    if streams is not None:
        streams[1].close()


async def disturb(world, worker):
    """Let one worker send second answers, for some seconds at a time."""
    for _ in range(PERIODS):
        worker.is_disturbed = TROUBLE
        world.record(f'{worker.name} sends second answers: {TROUBLE}')
        await asyncio.sleep(SECONDS)
        worker.is_disturbed = False
        world.record(f'{worker.name} sends each answer once')
        await asyncio.sleep(SECONDS)


async def play(world):
    workers = [await Worker(f'i-{number}', world.record).start() for number in range(WORKERS)]
    world.configure([ROUTE], [SERVICE])
    for worker in workers:
        world.store.put(
            f'servers/{worker.name}',
            {
                'service': 'taquilla', 'address': worker.address, 'zone': 'barranco',
                'version': 'v1', 'slots': 32, 'state': 'ready', 'warmup_left_ms': 0,
                'sequence': 1,
            },
        )
    (gateway,) = await world.start_gateways(1)
    await asyncio.sleep(4)
    results = {}
    until = asyncio.get_running_loop().time() + 2 * PERIODS * SECONDS
    await asyncio.gather(
        disturb(world, workers[0]),
        *(requester(world, gateway.port, number, results, until) for number in range(CHANNELS)),
    )
    heads = {attempt for worker in workers for attempt in worker.heads}
    runs = {attempt for worker in workers for attempt in worker.runs}
    lost = [
        attempt
        for attempt, (status, used) in results.items()
        if status is None and used and attempt in heads
    ]
    answered = sum(status == 200 for status, _ in results.values())
    copies = sum(worker.copies for worker in workers)
    world.record(
        f'{len(results)} requests, {answered} answered with 200, {copies} second answers'
    )
    world.record(
        f'passed on from a kept channel and closed without an answer: {len(lost)}, '
        f'of which {len(runs.intersection(lost))} ran: {lost}'
    )
    if answered < len(results) / 2:
        raise CannotRunError('most requests failed')
    return len(lost) > 3


run(__file__, play)
