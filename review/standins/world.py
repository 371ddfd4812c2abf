"""Stand-ins for the users' platform, on loopback addresses.

The store, the platform's API, the workers and the requesters run in this
process. The gateways are the project's own programs, each a process of its
own, started with the command of the deploy file. Only the standard library is
used. What the pages leave open is answered as a sound server would.
"""

import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
#: Gateways listen below the range from which outgoing connections get ports.
PORTS = range(12_000, 32_000)
BOOT_SECONDS = 20.0
CASE_SECONDS = 110.0
#: Signals by the names that the record uses.
SIGNALS = {
    'SIGTERM': signal.SIGTERM,
    'SIGKILL': signal.SIGKILL,
    'SIGSTOP': signal.SIGSTOP,
    'SIGCONT': signal.SIGCONT,
}


class CannotRunError(Exception):
    """Report that a case could not run, which says nothing of the rule."""


class Record:
    """Write what happened, with seconds since the start, to a file."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._file = Path(path).open('w', encoding='utf-8')

    def __call__(self, text):
        seconds = time.monotonic() - self.began
        self._file.write(f'{seconds:9.3f} {text}\n')
        self._file.flush()


class Message:
    """Hold the head and the body of a request or a response."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=''):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return a message without its body, or None at a clean end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return Message(lines[0], headers)


async def read_request(reader, notice):
    """Return a whole request, or None at a clean end."""
    message = await read_head(reader)
    if message is None:
        return None
    notice(message)
    if message.header('transfer-encoding').lower() == 'chunked':
        message.body = b''.join([part async for part in chunks(reader)])
    else:
        length = int(message.header('content-length', '0'))
        message.body = await reader.readexactly(length)
    return message


async def chunks(reader):
    """Yield the chunks of a body; raise where it ends early."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return
        yield part


def encode(status, headers, body=b''):
    rows = {'Content-Length': str(len(body)), **headers}
    lines = ''.join(f'{name}: {text}\r\n' for name, text in rows.items())
    return f'HTTP/1.1 {status} -\r\n{lines}\r\n'.encode('latin-1') + body


class Server:
    """Serve HTTP/1.1 on a free loopback port."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        return self

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader, self.notice)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self._writers.discard(writer)
            with suppress(OSError, RuntimeError):
                writer.close()

    def notice(self, head):
        """Note a request whose head has arrived."""

    def exit(self):
        """End as a process does: nobody listens, and all channels close."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """Keep items, revisions and leases as the pages say."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.leases = {}
        self.revision = 0
        #: Set and replaced when a lease is renewed.
        self.renewed = asyncio.Event()

    def put(self, key, content, lease=0):
        self.revision += 1
        self._set(key, base64.b64encode(content).decode(), lease)
        return self.revision

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)

    def _set(self, key, value, lease):
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }

    async def answer(self, request, reader, writer):
        self._expire()
        method, target, _ = request.first.split(' ')
        url = urlsplit(target)
        query = {key: row[0] for key, row in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        status, content = self._handle(method, url.path, query, body)
        encoded = json.dumps(content).encode()
        writer.write(
            encode(status, {'Content-Type': 'application/json'}, encoded)
        )
        await writer.drain()
        return True

    def _handle(self, method, path, query, body):
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if path == '/-/kv-range':
            return 200, self._page(query)
        if path == '/-/kv-txn':
            return self._transact(body)
        if path == '/-/kv-lease':
            lease = secrets.randbelow(1 << 30) + 1
            ttl = max(1000, int(body['ttl_ms']))
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        number = int(path.rpartition('/')[2])
        if number not in self.leases:
            return 404, {}
        if method == 'DELETE':
            self._end_lease(number)
        else:
            seconds, _ = self.leases[number]
            self.leases[number] = (seconds, time.monotonic() + seconds)
            self.renewed.set()
            self.renewed = asyncio.Event()
        return 200, {}

    def _page(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['path_prefix'])
            and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'at_revision': self.revision,
        }

    def _transact(self, body):
        expected = body.get('expected_revision', [])
        for row in expected:
            known = self.items.get(row['key'])
            if (known['revision'] if known else 0) != row['revision']:
                rows = [self.items.get(one['key']) for one in expected]
                return 412, {'items': [row for row in rows if row]}
        for row in body.get('puts', []):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get('puts', []):
            self._set(row['key'], row['value'], row.get('lease', 0))
        for key in body.get('remove', []):
            self.items.pop(key, None)
        return 200, {'revision': self.revision}

    def _expire(self):
        now = time.monotonic()
        for lease in [key for key, row in self.leases.items() if row[1] < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    @property
    def home(self):
        """Return the name of the node that holds the home record."""
        self._expire()
        for key, item in self.items.items():
            if key.startswith('spanfall/home/'):
                return json.loads(base64.b64decode(item['value']))['node']
        return None


class Cloud(Server):
    """Accept the calls of the node that holds the duties."""

    def __init__(self, record):
        super().__init__()
        self.record = record

    async def answer(self, request, reader, writer):
        writer.write(encode(200, {}))
        await writer.drain()
        return True


class Worker(Server):
    """Run requests in a number of slots, queue a few more, reject the rest.

    ``work`` says what one run does: it gets the request and a function that
    sends one event of a stream, and returns a status and a body.
    """

    def __init__(self, world, service, slots, work, queue=2, zone='zone-a'):
        super().__init__()
        self.world = world
        self.record = world.record
        self.service = service
        self.slots = slots
        self.work = work
        self.queue = queue
        self.zone = zone
        self.id = f'i-{secrets.token_hex(5)}'
        self.is_listed = True
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        #: What reached this worker: (time, attempt id, request).
        self.arrived = []
        #: Attempt ids of the requests whose head reached it, and of those that
        #: it began to run.
        self.began = []
        self.ran = []

    def entry(self, state='ready'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': int(time.monotonic() * 1000),
        }

    def notice(self, head):
        self.began.append(head.header('x-attempt-id'))

    async def answer(self, request, reader, writer):
        method, target, _ = request.first.split(' ')
        if target == '/healthz':
            writer.write(encode(200, {'X-Instance-Id': self.id}))
            await writer.drain()
            return True
        attempt = request.header('x-attempt-id')
        self.arrived.append((time.monotonic(), attempt, request))
        headers = {
            'X-Attempt-Id': attempt,
            'X-Instance-Load': f'{self.running},{self.waiting},{self.slots}',
        }
        expected = request.header('x-expect-instance')
        if expected and expected != self.id:
            writer.write(encode(421, headers))
            await writer.drain()
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record(f'worker {self.id} rejects {attempt}: full')
            writer.write(encode(503, {**headers, 'X-Not-Executed': '1'}))
            await writer.drain()
            return True
        run = asyncio.ensure_future(
            self._run(request, attempt, headers, writer)
        )
        # Most workers drop a request when its channel closes.
        gone = asyncio.ensure_future(self._watch(reader))
        await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            with suppress(asyncio.CancelledError):
                await run
            self.record(f'worker {self.id} drops {attempt}: channel closed')
            return False
        gone.cancel()
        with suppress(asyncio.CancelledError):
            await gone
        return run.result()

    async def _watch(self, reader):
        """Return when the channel closes while a request is at work."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _run(self, request, attempt, headers, writer):
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.ran.append(attempt)
        self.record(f'worker {self.id} ({self.service}) runs {attempt}')
        sealed = {**headers, 'X-Response-Seal': f'{self.id}.{attempt}'}
        try:
            return await self.work(self, request, sealed, writer)
        finally:
            self.running -= 1
            self._free.release()


async def respond(worker, request, sealed, writer, seconds, size=800):
    """Work for some seconds, then answer with a body."""
    await asyncio.sleep(seconds)
    writer.write(encode(200, sealed, b'x' * size))
    await writer.drain()
    return True


async def stream(worker, request, sealed, writer, events, gap, first=0.05):
    """Answer with events, each with an increasing id."""
    rows = {
        **sealed,
        'Content-Type': 'text/event-stream',
        'Transfer-Encoding': 'chunked',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in rows.items())
    await asyncio.sleep(first)
    writer.write(f'HTTP/1.1 200 -\r\n{lines}\r\n'.encode())
    for number in range(1, events + 1):
        part = b'id: %d\ndata: token\n\n' % number
        writer.write(b'%x\r\n%s\r\n' % (len(part), part))
        await writer.drain()
        await asyncio.sleep(gap)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True


class Gateway:
    """Run one gateway as the deploy file says."""

    def __init__(self, world, name, zone, settings):
        self.world = world
        self.name = name
        self.zone = zone
        self.settings = settings
        self.path = world.folder / f'{name}.json'
        self.log_path = world.folder / f'{name}.log'
        self.process = None

    @property
    def callers(self):
        return self.settings['listen']['callers']

    def start(self):
        self.path.write_text(json.dumps(self.settings), encoding='utf-8')
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    'python3',
                    '-S',
                    '-m',
                    'spanfall_node.gateway',
                    '--settings',
                    str(self.path),
                ],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.world.record(f'gateway {self.name} starts, {self.callers}')

    def send(self, name):
        self.world.record(f'gateway {self.name} gets {name}')
        self.process.send_signal(SIGNALS[name])

    @property
    def memory_mb(self):
        """Return the resident memory of the process."""
        path = Path(f'/proc/{self.process.pid}/status')
        with suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        try:
            answer = await request_once(
                self.settings['listen']['readiness'], 'GET', '/-/readyz', {}
            )
        except OSError:
            return False
        return answer.status == 200

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Answer:
    """Hold what a requester got."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        #: How the answer ended, in words.
        self.end = 'none'
        self.seconds = 0.0

    @property
    def header_close(self):
        """Return whether the channel ends with this answer."""
        return self.headers.get('connection', '').lower() == 'close'

    def __str__(self):
        return (
            f'status {self.status or "none"}, '
            f'{"complete" if self.complete else "not complete"}, '
            f'{len(self.body)} bytes, {self.end}, after {self.seconds:.3f} s'
        )


class Channel:
    """Keep one channel of a requester."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, method, target, headers, body=b''):
        rows = dict(headers)
        if body or method == 'POST':
            rows['Content-Length'] = str(len(body))
        lines = ''.join(f'{name}: {text}\r\n' for name, text in rows.items())
        head = f'{method} {target} HTTP/1.1\r\n{lines}\r\n'.encode('latin-1')
        self.writer.write(head + body)
        await self.writer.drain()

    async def read(self, seconds):
        """Read one answer, for so many seconds at most."""
        answer = Answer()
        began = time.monotonic()
        try:
            await asyncio.wait_for(self._read(answer), seconds)
        except asyncio.TimeoutError:
            answer.end = 'the requester stopped waiting'
        except asyncio.IncompleteReadError:
            answer.end = 'the channel was closed'
        except ConnectionError as exc:
            answer.end = f'the channel was reset ({type(exc).__name__})'
        answer.seconds = time.monotonic() - began
        return answer

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            answer.end = 'the channel was closed'
            return
        answer.status = int(head.first.split(' ')[1])
        answer.headers = head.headers
        if head.header('transfer-encoding').lower() == 'chunked':
            async for part in chunks(self.reader):
                answer.body += part
        elif 'content-length' in head.headers:
            length = int(head.header('content-length'))
            answer.body = await self.reader.readexactly(length)
        elif answer.status not in (204, 304):
            answer.body = await self.reader.read()
        answer.complete = True
        answer.end = 'whole'

    def close(self):
        with suppress(OSError):
            self.writer.close()


async def request_once(address, method, target, headers, body=b'', seconds=2):
    channel = await Channel.open(address)
    try:
        await channel.send(method, target, {'Host': address, **headers}, body)
        return await channel.read(seconds)
    finally:
        channel.close()


class Link:
    """Pass bytes between one gateway and the store; may be cut.

    A cut link is silent: bytes wait, as behind a partition, and new channels
    are accepted and get no answer. What waits is delivered when the cut ends,
    unless its channel was closed meanwhile.
    """

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self._server = server
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        return self

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _serve(self, reader, writer):
        far_writer = None
        try:
            await self._open.wait()
            host, _, port = self._target.rpartition(':')
            far, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.wait(
                {
                    asyncio.ensure_future(self._copy(reader, far_writer)),
                    asyncio.ensure_future(self._copy(far, writer)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for one in (writer, far_writer):
                if one is not None:
                    with suppress(OSError, RuntimeError):
                        one.close()

    async def _copy(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()


class World:
    """Hold the stand-ins and the gateways of one case."""

    def __init__(self, folder, record_path):
        self.folder = Path(folder)
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.cloud = Cloud(self.record)
        self.gateways = []
        self.workers = []
        #: Largest memory of each gateway, by name.
        self.peaks = {}
        self._used = set()
        self._beats = None

    async def start(self, config):
        await self.store.start()
        await self.cloud.start()
        self.configure(config)
        self._beats = asyncio.ensure_future(self._beat())

    def configure(self, config):
        """Write a configuration; the store's answer is the ack."""
        self.store.put('op/config', json.dumps(config).encode())
        self.record(f'configuration {config["version"]} is acknowledged')

    async def _beat(self):
        """Write the workers' entries every 1.2 s, as they do themselves."""
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                if worker.is_listed:
                    self.list_worker(worker)

    def unlist_worker(self, worker):
        """Remove a worker's entry, as some workers that leave do.

        It goes on serving for `drain_ms` and a little longer.
        """
        worker.is_listed = False
        self.store.remove(f'servers/{worker.id}')
        self.record(f'the entry of worker {worker.id} is removed')

    def list_worker(self, worker, state='ready'):
        content = json.dumps(worker.entry(state)).encode()
        self.store.put(f'servers/{worker.id}', content)

    async def add_worker(self, service, slots, work, **fields):
        worker = Worker(self, service, slots, work, **fields)
        await worker.start()
        self.list_worker(worker)
        self.workers.append(worker)
        self.record(
            f'worker {worker.id} of {service} listens at {worker.address}, '
            f'{slots} slots'
        )
        return worker

    def add_gateway(self, zone='zone-a', store='', **bounds):
        """Start a gateway with settings as the template makes them."""
        name = f'edge-{zone}-{len(self.gateways) + 1}'
        first = self._free_ports(5)
        settings = {
            'node': name,
            'data_centre': zone,
            'platform': 'spanfall_platform.adapter',
            'listen': {
                'callers': f'{HOST}:{first}',
                'readiness': f'{HOST}:{first + 1}',
                'links': f'{HOST}:{first + 2}',
                # The port after that of the links is for tunnels.
                'metrics': f'{HOST}:{first + 4}',
                'serves_tunnels': True,
            },
            'store': store or self.store.address,
            'least_lease_seconds': 1.0,
            'upstream_heartbeat_seconds': 1.2,
            'cloud': self.cloud.address,
            'reports_usage': True,
            'orders_upstreams': True,
            'host': {
                'processor_part': 0.537,
                'processor_speed': 2,
                'link_megabits': 1000.0,
            },
            'bounds': {
                'revoke_seconds': 5.0,
                'revocation_binds': True,
                'stop_seconds': 8,
                'retry_ratio': 0.2,
                'retry_allowance': 56,
                'retry_window_seconds': 10,
                'quota_window_seconds': 8,
                'quota_overage': 0.1,
                'quota_allowance': 140000,
                'duty_lease_seconds': 3.0,
                'usage_window_seconds': 5,
                **bounds,
            },
        }
        gateway = Gateway(self, name, zone, settings)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def wait_ready(self):
        """Wait until all gateways are ready and one is the home."""
        until = time.monotonic() + BOOT_SECONDS
        while time.monotonic() < until:
            ready = [await one.is_ready() for one in self.gateways]
            if all(ready) and self.store.home:
                self.record(f'all gateways are ready; home {self.store.home}')
                return
            await asyncio.sleep(0.1)
        raise CannotRunError('the gateways did not become ready')

    def gateway(self, name):
        return next(one for one in self.gateways if one.name == name)

    def _free_ports(self, count):
        while True:
            first = secrets.choice(PORTS)
            ports = range(first, first + count)
            if self._used.isdisjoint(ports) and all(map(_is_free, ports)):
                self._used.update(ports)
                return first

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        if self._beats is not None:
            self._beats.cancel()


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    ``case`` gets the world and whether there is a disruption, and returns the
    violations that it saw, in words.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        world = World(temporary, Path(folder) / 'record.txt')
        world.record(f'disruption: {"yes" if trouble else "no"}')
        try:
            broken = asyncio.run(_bounded(case, world, trouble))
        except CannotRunError as exc:
            world.record(f'the case could not run: {exc}')
        except Exception as exc:  # noqa: BLE001
            world.record(f'the case could not run: {exc!r}')
        else:
            for text in broken:
                world.record(f'BROKEN: {text}')
            code = 1 if broken else 0
        finally:
            world.end()
            if os.environ.get('KEEP_LOGS'):
                for gateway in world.gateways:
                    print(gateway.log_path.read_text())
        world.record(('the rule held', 'the rule was broken', 'no result')[code])
    sys.exit(code)


async def _bounded(case, world, trouble):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        return await asyncio.wait_for(case(world, trouble), CASE_SECONDS)
    finally:
        # Channels end before the loop does.
        world.end()
        await asyncio.sleep(0.3)
