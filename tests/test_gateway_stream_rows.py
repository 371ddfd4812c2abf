"""Test the rows of the store that name what began streams."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio
import pytest
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import StreamRecord
from spanfall_node.gateway.home import stream_rows
from spanfall_node.gateway.net.ports import Listing, StoredItem
from spanfall_node.gateway.store.store_errors import StoreRefusedError
from spanfall_node.gateway.tables.known_streams import KnownStreams
from support import run_async, wait_until

ORIGIN = Origin('s', 'v1')
SECONDS = 30.0


@dataclass
class FakeStore:
    """Hold rows, and refuse writes while told to."""

    items: dict[str, bytes] = field(default_factory=dict)
    is_failing: bool = False
    refuses: bool = False

    async def list_items(self, prefix):
        await checkpoint()
        rows = [
            StoredItem(key, content, 1, 1)
            for key, content in self.items.items()
        ]
        return Listing(tuple(rows), 1)

    async def write_as_home(self, tenure, write):
        await checkpoint()
        if self.refuses:
            raise StoreRefusedError
        self.items[write.key] = write.content


class Node:
    """Run the rows of a node that is the home."""

    def __init__(self, store):
        self.now = 100.0
        self.streams = KnownStreams()
        self.state = SimpleNamespace(
            timers=SimpleNamespace(now=lambda: self.now),
            streams=self.streams,
            tenure=SimpleNamespace(epoch=1),
            is_home=lambda _: True,
            home_changed=anyio.Event(),
        )
        self.rows = stream_rows.StreamRows(self.state, store)

    def add(self, *keys):
        expires_at = self.now + SECONDS
        for key in keys:
            record = StreamRecord(key, ORIGIN, expires_at, is_begun=True)
            self.streams.unstored.append(record)

    def knows(self, *keys):
        found = [self.streams.table.find(key, self.now) for key in keys]
        return all(origin == ORIGIN for origin in found)


def run_node(check, **fields):
    """Run a check beside the rows of a node, with a store of its own."""

    async def main():
        store = FakeStore(**fields)
        node = Node(store)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.rows.run)
            await check(node, store)
            tasks.cancel_scope.cancel()

    run_async(main)


async def stored(node):
    await wait_until(lambda: not node.streams.unstored)
    await anyio.sleep(2 * stream_rows.WRITE_PERIOD)


async def check_later(store, *keys):
    """Check that a home that starts now learns of streams."""
    later = Node(store)
    with anyio.move_on_after(2 * stream_rows.WRITE_PERIOD):
        await later.rows.run()
    assert later.knows(*keys)


# Guards against streams that are lost with a refused write.
def test_a_refused_write_is_repeated():
    async def check(node, store):
        node.add(1, 2)
        await anyio.sleep(3 * stream_rows.WRITE_PERIOD)
        assert not store.items
        store.refuses = False
        await stored(node)
        await check_later(store, 1, 2)

    run_node(check, refuses=True)


# Guards against rows that grow without end, and against a row that is replaced
# while its streams may be resumed.
def test_rows_are_used_again(monkeypatch):
    monkeypatch.setattr(stream_rows, 'FULL_ROW_STREAMS', 2)
    monkeypatch.setattr(stream_rows, 'MAX_ROWS', 3)

    async def check(node, store):
        for number in range(1, 5):
            node.add(number)
            await stored(node)
        assert sorted(store.items) == [
            f'{stream_rows.ROW_PREFIX}000',
            f'{stream_rows.ROW_PREFIX}001',
        ]
        await check_later(store, 1, 2, 3, 4)
        node.now += SECONDS
        for number in range(5, 11):
            node.add(number)
            await stored(node)
        assert len(store.items) == 3
        await check_later(store, *range(5, 11))

    run_node(check)


# Guards against a store that was restored and lacks what the home has written.
def test_lost_rows_are_written_again():
    async def check(node, store):
        node.add(1, 2)
        await stored(node)
        store.items.clear()
        node.state.tenure = SimpleNamespace(epoch=2)
        await wait_until(lambda: bool(store.items))
        await check_later(store, 1, 2)

    run_node(check)


# Guards against a row that can't be read and hides the others.
@pytest.mark.parametrize('content', [b'{', b'[]', b'{"groups":[["s","v",1]]}'])
def test_an_invalid_row_hides_no_other(content):
    async def check(node, store):
        node.add(1)
        await stored(node)
        store.items[f'{stream_rows.ROW_PREFIX}007'] = content
        store.items[f'{stream_rows.ROW_PREFIX}x'] = content
        await check_later(store, 1)

    run_node(check)
