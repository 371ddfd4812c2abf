"""Run the contract of each platform port against each implementation."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import httpx
import pytest
from spanfall_node.clients import new_http_client
from spanfall_node.cloud import CloudError, CloudPort, HttpCloud
from spanfall_node.embedded import MAX_VALUE_BYTES, EmbeddedKeyValue
from spanfall_node.etcd import EtcdKeyValue
from spanfall_node.keyvalue import (
    KeyValue,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
    WatchEvent,
)
from spanfall_node.metrics import Metrics
from spanfall_standins.cloud import Cloud
from spanfall_standins.faults import Faults
from spanfall_standins.keyvalue import KeyValueServer
from spanfall_standins.servers import Host
from support import run_async

TIMEOUT = httpx.Timeout(1)


class Clock:
    """Give a time that tests move by hand."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@asynccontextmanager
async def open_store(
    kind: str,
    clock: Clock,
) -> AsyncIterator[tuple[KeyValue, Faults]]:
    """Open an implementation, with the faults of its stand-in."""
    table = EmbeddedKeyValue(clock)
    if kind == 'embedded':
        yield table, Faults()
        return
    server = KeyValueServer(table)
    host = Host(server.build_app())
    async with (
        anyio.create_task_group() as tasks,
        new_http_client(TIMEOUT) as client,
    ):
        await host.start(tasks)
        # Another tenant's key must never be seen under our prefix.
        await table.put('other/a', b'x')
        yield (
            EtcdKeyValue(client, host.address, '/spanfall/', Metrics()),
            server.faults,
        )
        tasks.cancel_scope.cancel()


StoreCheck = Callable[[KeyValue, Clock], Awaitable[None]]


async def check_swap(store: KeyValue, clock: Clock) -> None:
    """Check compare-and-swap."""
    assert await store.get('a') is None
    assert await store.create('a', b'1')
    assert not await store.create('a', b'2')
    entry = await store.get('a')
    assert entry.value == b'1'
    assert await store.replace('a', b'3', entry.revision)
    assert not await store.replace('a', b'4', entry.revision)
    await store.put('a', b'\x00\xff')
    assert (await store.get('a')).value == b'\x00\xff'
    await store.delete('a')
    assert await store.get('a') is None
    await store.delete('a')


async def check_listing(store: KeyValue, clock: Clock) -> None:
    """Check that a prefix lists its keys in order and no others."""
    for key in ('b/2', 'a', 'b/1', 'c'):
        await store.put(key, key.encode())
    listing = await store.list_prefix('b/')
    assert [row.key for row in listing.entries] == ['b/1', 'b/2']
    assert listing.revision >= listing.entries[1].revision
    assert not (await store.list_prefix('other/')).entries


async def check_leases(store: KeyValue, clock: Clock) -> None:
    """Check that keys end with their lease, unless written anew."""
    lease = await store.grant(5)
    assert await store.create('a', b'1', lease)
    await store.put('b', b'1', lease)
    await store.put('b', b'2')
    clock.now = 4
    assert await store.keep_alive(lease)
    clock.now = 8
    assert await store.get('a') is not None
    clock.now = 10
    assert await store.get('a') is None
    assert await store.get('b') is not None
    assert not await store.keep_alive(lease)
    with pytest.raises(StoreError):
        await store.create('a', b'2', lease)


async def check_watch(store: KeyValue, clock: Clock) -> None:
    """Check that a watch gives each write after its revision, in order."""
    await store.put('w/0', b'0')
    listing = await store.list_prefix('w/')
    await store.put('w/1', b'1')
    await store.put('x', b'x')
    await store.delete('w/0')
    seen: list[WatchEvent] = []
    async for event in store.watch('w/', listing.revision):
        seen.append(event)
        if len(seen) == 2:
            break
    found = [(row.entry.key, row.deleted) for row in seen]
    assert found == [('w/1', False), ('w/0', True)]


async def check_limits(store: KeyValue, clock: Clock) -> None:
    """Check that a value over a megabyte is refused without an effect."""
    with pytest.raises(StoreError):
        await store.put('big', b'x' * (MAX_VALUE_BYTES + 1))
    assert await store.get('big') is None


@pytest.mark.parametrize('kind', ['embedded', 'etcd'])
@pytest.mark.parametrize(
    'check',
    [check_swap, check_listing, check_leases, check_watch, check_limits],
)
def test_key_value_contract(kind: str, check: StoreCheck) -> None:
    async def main() -> None:
        clock = Clock()
        async with open_store(kind, clock) as (store, _):
            await check(store, clock)

    run_async(main)


@pytest.mark.parametrize(
    ('faults', 'write_error', 'has_effect'),
    [
        ({'lose_answers': 1}, StoreUncertainError, True),
        ({'delay': 3.0}, StoreUncertainError, None),
        ({'down': True}, StoreUncertainError, False),
        ({'closed': True}, StoreUnavailableError, False),
    ],
)
def test_etcd_faults(
    faults: dict[str, float | bool],
    write_error: type[StoreError],
    has_effect: bool | None,
) -> None:
    """Each fault says no more of a write than what is certain."""

    async def main() -> None:
        async with open_store('etcd', Clock()) as (store, standin):
            if faults.get('closed'):
                store._url = 'http://127.0.0.1:9'
            for name, setting in faults.items():
                if hasattr(standin, name):
                    setattr(standin, name, setting)
            with pytest.raises(write_error):
                await store.create('a', b'1')
            if has_effect is not None and not faults.get('closed'):
                standin.down = False
                assert (await store.get('a') is not None) is has_effect

    run_async(main)


@pytest.mark.parametrize('kind', ['memory', 'http'])
def test_cloud_contract(kind: str) -> None:
    async def main() -> None:
        clock = Clock()
        cloud = Cloud(clock, list_lag=5)
        host = Host(cloud.build_app())
        async with (
            anyio.create_task_group() as tasks,
            new_http_client(TIMEOUT) as client,
        ):
            await host.start(tasks)
            port: CloudPort = cloud
            if kind == 'http':
                port = HttpCloud(client, host.address, host.address)
            await check_cloud(port, cloud, clock)
            tasks.cancel_scope.cancel()

    run_async(main)


async def check_cloud(port: CloudPort, cloud: Cloud, clock: Clock) -> None:
    """Check notices at once, the host list with its lag, and an outage."""
    assert not await port.notices()
    cloud.announce('writer-1', 3, 10)
    notice = (await port.notices())[0]
    found = (notice.upstream, notice.incarnation, notice.seconds)
    assert found == ('writer-1', 3, 10)
    assert not await port.hosts()
    clock.now = 6
    host = (await port.hosts())[0]
    assert (host.upstream, host.state, host.seconds) == (
        'writer-1',
        'leaving',
        4,
    )
    cloud.down = True
    with pytest.raises(CloudError):
        await port.notices()
