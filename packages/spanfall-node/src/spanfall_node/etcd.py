"""Speak etcd's JSON gateway (v3) as an adapter of the key-value port.

Keys and values are base64 in JSON; 64-bit numbers are decimal strings, as the
published gateway has them.
"""

import json
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import httpx

from spanfall_node.keyvalue import (
    KeyEntry,
    Listing,
    StoreUnavailableError,
    StoreUncertainError,
    WatchEvent,
)
from spanfall_node.metrics import Metrics

JsonMap = dict[str, Any]

#: Errors raised before any byte of a call was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_SUCCESS = 200
#: From here on, a failed write may have taken effect.
_SERVER_ERROR = 500


def encode_text(text: str) -> str:
    """Return a key in the base64 form of the gateway."""
    return b64encode(text.encode()).decode()


def prefix_end(prefix: str) -> str:
    """Return the end of the range of keys with a prefix, in base64."""
    raw = prefix.encode()
    return b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


def read_entry(row: JsonMap, root: str) -> KeyEntry:
    """Return the entry that a ``KeyValue`` message describes."""
    key = b64decode(row['key']).decode().removeprefix(root)
    return KeyEntry(
        key,
        b64decode(row.get('value', '')),
        int(row.get('mod_revision', 0)),
    )


class EtcdKeyValue:
    """Implement the key-value port over HTTP."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        url: str,
        prefix: str,
        metrics: Metrics,
    ) -> None:
        """Keep all keys under a prefix of the service."""
        self._client = client
        self._url = url.rstrip('/')
        self._root = prefix
        self._metrics = metrics

    async def get(self, key: str) -> KeyEntry | None:
        """Return the entry of a key, or None."""
        reply = await self._call('get', 'kv/range', {'key': self._key(key)})
        rows = reply.get('kvs', [])
        return read_entry(rows[0], self._root) if rows else None

    async def list_prefix(self, prefix: str) -> Listing:
        """Return the entries under a prefix."""
        full = self._root + prefix
        call = {'key': encode_text(full), 'range_end': prefix_end(full)}
        reply = await self._call('list', 'kv/range', call)
        entries = [read_entry(row, self._root) for row in reply.get('kvs', [])]
        return Listing(entries, int(reply['header']['revision']))

    async def create(self, key: str, value: bytes, lease: int = 0) -> bool:
        """Write the key if it is absent."""
        return await self.replace(key, value, 0, lease)

    async def replace(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: int = 0,
    ) -> bool:
        """Write the key if its revision is as given."""
        compare = {
            'key': self._key(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        put = {
            'key': self._key(key),
            'value': b64encode(value).decode(),
            'lease': str(lease),
        }
        txn = {'compare': [compare], 'success': [{'request_put': put}]}
        reply = await self._call('replace', 'kv/txn', txn, writes=True)
        return bool(reply.get('succeeded'))

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write the key, whatever it holds; it ends with the lease."""
        put = {
            'key': self._key(key),
            'value': b64encode(value).decode(),
            'lease': str(lease),
        }
        await self._call('put', 'kv/put', put, writes=True)

    async def delete(self, key: str) -> None:
        """Delete the key, if it is there."""
        call = {'key': self._key(key)}
        await self._call('delete', 'kv/deleterange', call, writes=True)

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        call = {'TTL': str(seconds)}
        reply = await self._call('grant', 'lease/grant', call, writes=True)
        return int(reply['ID'])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""
        call = {'ID': str(lease)}
        reply = await self._call('keep-alive', 'lease/keepalive', call)
        return int(reply.get('result', {}).get('TTL', 0)) > 0

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[WatchEvent]:
        """Yield the writes under a prefix that follow a revision."""
        full = self._root + prefix
        create = {
            'key': encode_text(full),
            'range_end': prefix_end(full),
            'start_revision': str(after + 1),
        }
        self._count('watch', 'started')
        events: deque[WatchEvent] = deque()
        try:
            async for line in self._stream_lines('watch', create):
                events.extend(self._read_events(line))
                while events:
                    yield events.popleft()
        except httpx.HTTPError as exc:
            raise StoreUnavailableError(str(exc)) from exc

    async def _stream_lines(
        self,
        path: str,
        create: JsonMap,
    ) -> AsyncIterator[str]:
        async with self._client.stream(
            'POST',
            f'{self._url}/v3/{path}',
            json={'create_request': create},
            timeout=httpx.Timeout(self._client.timeout.connect, read=None),
        ) as reply:
            async for line in reply.aiter_lines():
                yield line

    def _read_events(self, line: str) -> list[WatchEvent]:
        if not line.strip():
            return []
        reply = json.loads(line)['result']
        if reply.get('canceled'):
            raise StoreUnavailableError('the watch was cancelled')
        return [
            WatchEvent(
                read_entry(row['kv'], self._root),
                deleted=row.get('type') == 'DELETE',
            )
            for row in reply.get('events', [])
        ]

    def _key(self, key: str) -> str:
        return encode_text(self._root + key)

    def _count(self, operation: str, outcome: str) -> None:
        self._metrics.store_calls.labels(operation, outcome).inc()

    async def _call(
        self,
        operation: str,
        path: str,
        body: JsonMap,
        *,
        writes: bool = False,
    ) -> JsonMap:
        try:
            reply = await self._client.post(f'{self._url}/v3/{path}', json=body)
        except httpx.HTTPError as exc:
            self._count(operation, 'failed')
            if writes and not isinstance(exc, _NOT_SENT):
                raise StoreUncertainError(f'{operation}: {exc!r}') from exc
            raise StoreUnavailableError(f'{operation}: {exc!r}') from exc
        if reply.status_code != _SUCCESS:
            self._count(operation, 'refused')
            text = f'{operation}: status {reply.status_code}'
            if writes and reply.status_code >= _SERVER_ERROR:
                raise StoreUncertainError(text)
            raise StoreUnavailableError(text)
        self._count(operation, 'done')
        document: JsonMap = reply.json()
        return document
