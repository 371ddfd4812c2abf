"""A small deployment on loopback: the platform's stand-ins and gateways.

A gateway runs with the command of the deploy file, from the root of the
repository, with settings as its template gives them.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from platform_standins import Cloud, Store

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRunError(Exception):
    """The case could not run; nothing is said of the rule."""


#: Several scripts may run at once, so each begins anywhere.
_tried = iter(range(12000 + secrets.randbelow(15000), 32000, 37))


def free_ports(count):
    """Return free loopback ports that follow one another, others each time.

    They lie below those that the kernel gives to connections.
    """
    for start in _tried:
        socks = []
        try:
            for port in range(start, start + count):
                sock = socket.socket()
                socks.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(('127.0.0.1', port))
            return list(range(start, start + count))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise CannotRunError('no free ports')


class Record:
    """What was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.path = Path(folder) / 'record.txt'
        self.file = self.path.open('w', encoding='utf-8')

    def __call__(self, text):
        self.file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self.file.flush()


class Gateway:
    """One gateway process."""

    def __init__(self, world, number):
        ports = free_ports(5)
        callers, ready, links, _, metrics = ports
        self.name = f'edge-{number}'
        self.port = callers
        self.ready_port = ready
        self.path = Path(world.folder) / f'{self.name}.json'
        self.log = Path(world.folder) / f'{self.name}.log'
        settings = {
            'node': self.name,
            'data_centre': 'barranco',
            'platform': 'spanfall_platform.adapter',
            'listen': {
                'callers': f'127.0.0.1:{callers}',
                'readiness': f'127.0.0.1:{ready}',
                'links': f'127.0.0.1:{links}',
                'metrics': f'127.0.0.1:{metrics}',
                'serves_tunnels': True,
            },
            'store': world.store.address,
            'least_lease_seconds': 1,
            'upstream_heartbeat_seconds': 1.2,
            'cloud': world.cloud.address,
            'reports_usage': True,
            'orders_upstreams': True,
            'host': {
                'processor_part': 0.537,
                'processor_speed': 2,
                'memory_megabytes': 300,
                'descriptors': 4100,
                'link_megabits': 1000,
            },
            'bounds': {
                'revoke_seconds': 5,
                'revocation_binds': True,
                'stop_seconds': 8,
                'retry_ratio': 0.2,
                'retry_allowance': 58,
                'retry_window_seconds': 10,
                'quota_window_seconds': 8,
                'quota_overage': 0.1,
                'quota_allowance': 140000,
                'duty_lease_seconds': 3,
                'usage_window_seconds': 5,
            },
        }
        self.path.write_text(json.dumps(settings), encoding='utf-8')
        self.process = None

    def start(self):
        """Start the process as the deploy file does."""
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'spanfall_node.gateway', '--settings', str(self.path)],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds=15):
        """Wait until the gateway says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f'{self.name} ended with {self.process.returncode}')
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{self.name} is not ready after {seconds} s')


class World:
    """The whole small deployment."""

    def __init__(self, case_folder):
        self.temporary = tempfile.TemporaryDirectory(prefix='case-')
        self.folder = self.temporary.name
        self.record = Record(case_folder)
        self.gateways = []
        self.processes = []
        self.version = 1

    async def start(self):
        """Start the platform."""
        if not (ROOT / 'target' / 'deps' / 'spanfall_node').is_dir():
            raise CannotRunError('target/deps is missing: build first')
        self.store = await Store().start()
        self.cloud = await Cloud().start()
        return self

    def configure(self, routes, services, limits=None, tenants=()):
        """Write the next version of the configuration as the operator."""
        self.version += 1
        self.store.put(
            'op/config',
            {
                'version': self.version,
                'routes': routes,
                'services': services,
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 4194304,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                    **(limits or {}),
                },
                'tenants': list(tenants),
            },
        )
        self.record(f'the store acknowledged configuration {self.version}')
        return self.version

    async def start_gateways(self, count):
        """Start gateways and wait until all are ready."""
        for number in range(1, count + 1):
            gateway = Gateway(self, number)
            gateway.start()
            self.gateways.append(gateway)
            self.processes.append(gateway.process)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record(f'{count} gateways are ready')
        return self.gateways

    def start_process(self, words):
        """Start a stand-in as a process of its own."""
        process = subprocess.Popen(words, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process

    def stop(self):
        """End all processes that were started."""
        for gateway in self.gateways:
            if gateway.process not in self.processes:
                self.processes.append(gateway.process)
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get('KEEP_LOGS'):
            for gateway in self.gateways:
                target = Path(os.environ['KEEP_LOGS']) / gateway.log.name
                target.write_bytes(gateway.log.read_bytes())
        self.temporary.cleanup()


def run(case_file, play):
    """Play a case and exit with 1 if the rule was broken, 0 if not, else 2."""

    async def main():
        world = World(Path(case_file).resolve().parent)
        try:
            await world.start()
            is_broken = await asyncio.wait_for(play(world), 110)
        finally:
            world.stop()
            # Connections of processes that were just ended are of no interest.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world.record(f'result: the rule {"was broken" if is_broken else "held"}')
        return 1 if is_broken else 0

    try:
        code = asyncio.run(main())
    except (CannotRunError, asyncio.TimeoutError, OSError) as exc:
        print(f'the case could not run: {exc!r}')
        code = 2
    raise SystemExit(code)
