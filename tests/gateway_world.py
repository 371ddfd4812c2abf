"""Run gateways against stand-ins of a platform, within one test."""

import json
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count

import anyio
import msgspec
from anyio.abc import SocketStream, TaskGroup
from gateway_caller import (
    HOST,
    Answer,
    ask,
    dial,
    read_answer,
    request_bytes,
)
from spanfall_api.gateway_settings import Bounds, GatewaySettings, Host, Listen
from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.program import Gateway, start_gateway
from spanfall_node.gateway.tables.new_state import build_state
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.timers import Timers
from spanfall_standins.gateway.dialect import (
    ADAPTER,
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    PlainConfiguration,
    PlainRoute,
    PlainService,
    PlainShare,
)
from spanfall_standins.gateway.network import Network
from spanfall_standins.gateway.server import (
    AfterExit,
    ReceivedRequest,
    encode_response,
    start_server,
)
from spanfall_standins.gateway.store import StandInStore
from spanfall_standins.gateway.upstream import Behaviour, StandInUpstream
from support import run_async, wait_until

__all__ = (
    'HOST',
    'Answer',
    'World',
    'ask',
    'dial',
    'in_world',
    'read_answer',
    'request_bytes',
    'route',
)

#: Range of ports for gateways.
PORTS = range(12_000, 32_000)
SERVICE = 'sheets'


def route(prefix: str, kind: RouteKind, **fields: object) -> PlainRoute:
    """Return a route to the only service."""
    shares = [PlainShare(SERVICE)]
    return PlainRoute(prefix, HOST, prefix, shares, kind, **fields)


ROUTES = [
    route('/once/', RouteKind.NON_IDEMPOTENT),
    route('/any/', RouteKind.IDEMPOTENT),
    route('/short/', RouteKind.IDEMPOTENT, timeout=0.3),
    route('/stream/', RouteKind.STREAM),
    route('/resume/', RouteKind.STREAM, resumable=True),
    route('/keyed/', RouteKind.NON_IDEMPOTENT, key=True),
]


@dataclass(slots=True)
class World:
    """Manage the stand-ins and gateways of one test."""

    tasks: TaskGroup
    store: StandInStore
    store_address: str
    cloud_address: str
    cloud_calls: list[dict[str, object]] = field(default_factory=list)
    upstreams: dict[str, StandInUpstream] = field(default_factory=dict)
    #: What the upstreams wrote into the store, by id.
    entries: dict[str, dict[str, object]] = field(default_factory=dict)
    configuration: PlainConfiguration = field(
        default_factory=lambda: PlainConfiguration(
            list(ROUTES),
            [PlainService(SERVICE)],
        ),
    )
    #: Whether gateways hold their shares of retries as if they had run for long.
    is_settled: bool = True
    #: Running parts of the gateways, by node.
    gateways: dict[str, Gateway] = field(default_factory=dict)
    _numbers: count = field(default_factory=lambda: count(1))
    _versions: count = field(default_factory=lambda: count(1))

    def configure(self, **changes: object) -> int:
        """Write a new configuration with changed fields; return its version."""
        for name, content in changes.items():
            setattr(self.configuration, name, content)
        self.configuration.version = next(self._versions)
        encoded = msgspec.json.encode(self.configuration).decode()
        self.store.put(CONFIGURATION_KEY, encoded)
        return self.configuration.version

    async def add_upstream(
        self,
        behaviour: Behaviour,
        after_end: AfterExit = AfterExit.REFUSES,
        upstream_id: str = '',
        **fields: object,
    ) -> StandInUpstream:
        """Start an upstream and add its entry to the store.

        ``fields`` are further ones of the entry, or other values of the usual.
        One that starts again has the id of an earlier one.
        """
        lifetime = upstream_id or f'u-{next(self._numbers)}'
        upstream = StandInUpstream(lifetime, behaviour)
        address = await start_server(
            self.tasks,
            upstream.answer,
            upstream.process_scope,
            after_end,
        )
        row = ListedUpstream(lifetime, SERVICE, address, 'north', slots=4)
        entry = {
            **msgspec.to_builtins(row),
            'software_version': 'v1',
            **fields,
        }
        encoded = msgspec.json.encode(entry).decode()
        self.store.put(f'{UPSTREAM_PREFIX}{lifetime}', encoded)
        self.upstreams[lifetime] = upstream
        self.entries[lifetime] = entry
        return upstream

    def change_entry(self, upstream: StandInUpstream, **fields: object) -> None:
        """Write the entry of an upstream again with changed fields."""
        entry = {**self.entries[upstream.lifetime], **fields}
        encoded = msgspec.json.encode(entry).decode()
        self.store.put(f'{UPSTREAM_PREFIX}{upstream.lifetime}', encoded)

    def remove_entry(self, upstream: StandInUpstream) -> None:
        """Remove the entry of an upstream that has stopped writing it."""
        self.store.remove(f'{UPSTREAM_PREFIX}{upstream.lifetime}')

    async def add_gateway(
        self, network: Network | None = None, **bounds: float
    ) -> GatewayState:
        """Start a gateway and wait until it is ready."""
        state = await self.add_unready_gateway(network=network, **bounds)
        await wait_until(lambda: state.is_ready(state.timers.now()))
        listed = [key for key in self.store.items if UPSTREAM_PREFIX in key]
        await wait_until(lambda: len(state.directory.rows) >= len(listed))
        return state

    async def add_killable_gateway(
        self,
        life: anyio.CancelScope,
        **bounds: float,
    ) -> GatewayState:
        """Start a gateway that ends abruptly when ``life`` is cancelled."""
        outer_tasks = self.tasks
        started: list[GatewayState] = []

        async def run() -> None:
            with life:
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    started.append(await self.add_gateway(**bounds))
                    self.tasks = outer_tasks
                    await anyio.sleep_forever()

        outer_tasks.start_soon(run)
        await wait_until(lambda: bool(started))
        return started[0]

    async def add_unready_gateway(
        self,
        least_lease_seconds: float = 0,
        host: Host | None = None,
        network: Network | None = None,
        **bounds: float,
    ) -> GatewayState:
        """Start a gateway and wait until it accepts connections."""
        cfg = await self.new_settings(
            least_lease_seconds=least_lease_seconds,
            bounds=Bounds(**bounds),
            host=host or Host(),
        )
        timers = Timers(time.monotonic, time.time)
        state = build_state(cfg, ADAPTER, timers, f'i-{cfg.node}')
        if self.is_settled:
            state.retries.share.started_at = float('-inf')
        dial = network.dial if network else connect
        self.gateways[cfg.node] = start_gateway(state, self.tasks, dial)
        await wait_until_open(cfg.listen.callers)
        return state

    async def new_settings(self, **changes: object) -> GatewaySettings:
        """Return the settings of one more gateway, with changed fields."""
        # The last port is that of the tunnels.
        callers, readiness, links, _ = await free_addresses(4)
        listen = Listen(callers, readiness, links, serves_tunnels=True)
        return GatewaySettings(
            node=f'node-{next(self._numbers)}',
            data_centre='north',
            platform='spanfall_standins.gateway.dialect',
            listen=listen,
            store=self.store_address,
            cloud=self.cloud_address,
            reports_usage=True,
            **changes,
        )

    async def answer_cloud(
        self, seen: ReceivedRequest, stream: SocketStream
    ) -> bool:
        """Record a call to the cloud API."""
        self.cloud_calls.append(json.loads(seen.body))
        await stream.send(encode_response(200, b''))
        return True


async def free_addresses(count: int) -> list[str]:
    """Return consecutive loopback addresses that no process listens on.

    Their ports are below the ephemeral port range: an outgoing connection once
    took the port of a gateway before the gateway could listen there.
    """
    while True:
        first = secrets.choice(PORTS)
        ports = range(first, first + count)
        if all([await _is_free(port) for port in ports]):
            return [f'127.0.0.1:{port}' for port in ports]


async def _is_free(port: int) -> bool:
    try:
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1',
            local_port=port,
        )
    except OSError:
        return False
    await listener.aclose()
    return True


async def wait_until_open(address: str) -> None:
    """Wait until an address accepts connections."""
    while True:
        try:
            stream = await dial(address)
        except OSError:
            await anyio.sleep(0.01)
        else:
            await stream.aclose()
            return


def in_world(test: Callable[[World], Awaitable[None]]) -> Callable[[], None]:
    """Run a test with a store, a cloud API and an initial configuration."""

    def run() -> None:
        run_async(lambda: _run_in_world(test))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def _run_in_world(test: Callable[[World], Awaitable[None]]) -> None:
    async with anyio.create_task_group() as tasks:
        store = StandInStore(time.monotonic)
        address = await start_server(tasks, store.answer)
        world = World(tasks, store, address, '')
        world.cloud_address = await start_server(tasks, world.answer_cloud)
        world.configure()
        await test(world)
        tasks.cancel_scope.cancel()
