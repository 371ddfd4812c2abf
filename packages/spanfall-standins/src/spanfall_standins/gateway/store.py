"""Simulate the platform's store in memory, with fault injection."""

from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec
from anyio.abc import SocketStream

from spanfall_standins.gateway.dialect import (
    TIMELINE_HEADER,
    PlainItem,
    PlainPage,
    PlainTransaction,
)
from spanfall_standins.gateway.server import ReceivedRequest, encode_response


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Represent a backup of the store."""

    items: dict[str, PlainItem]
    leases: dict[int, tuple[float, float]]
    revision: int


@dataclass(slots=True)
class StandInStore:
    """Store items in memory; the test supplies the clock."""

    clock: Callable[[], float]
    items: dict[str, PlainItem] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    revision: int = 0
    #: Incremented each time the store is restored from a backup.
    timeline: int = 0
    #: HTTP status returned for every call instead of serving it; 0: disabled.
    error_status: int = 0
    min_lease_ms: int = 0
    #: Whether writes are applied but their responses are dropped.
    drops_responses: bool = False
    calls: list[str] = field(default_factory=list)

    @property
    def listings(self) -> int:
        """Return the number of list calls, including failed ones."""
        return sum(target.startswith('/items?') for target in self.calls)

    async def answer(
        self, request: ReceivedRequest, stream: SocketStream
    ) -> bool:
        """Answer one call, applying the configured faults."""
        self.calls.append(request.target)
        if self.error_status:
            await stream.send(self._encode(self.error_status, b''))
            return True
        self._expire()
        status, body = self._handle(request)
        if self.drops_responses and request.method == 'POST':
            return False
        await stream.send(self._encode(status, body))
        return True

    def _encode(self, status: int, body: bytes) -> bytes:
        headers = {TIMELINE_HEADER.decode(): str(self.timeline)}
        return encode_response(status, body, headers)

    def copy(self) -> StoreCopy:
        """Return a backup of the store."""
        return deepcopy(StoreCopy(self.items, self.leases, self.revision))

    def restore(self, copy: StoreCopy) -> None:
        """Restore a backup; writes made since are lost."""
        restored = deepcopy(copy)
        self.items = restored.items
        self.leases = restored.leases
        self.revision = restored.revision
        self.timeline += 1

    def put(self, key: str, content: str, lease: int = 0) -> int:
        """Write an item and return the new revision."""
        self.revision += 1
        self._set(key, content, lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item; the revision increases."""
        self.revision += 1
        self.items.pop(key, None)

    def _set(self, key: str, content: str, lease: int) -> None:
        existing = self.items.get(key)
        created = existing.created if existing else self.revision
        item = PlainItem(key, content, self.revision, created, lease)
        self.items[key] = item

    def _handle(self, request: ReceivedRequest) -> tuple[int, bytes]:
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
        if parts.path == '/item':
            return self._get(query['key'][0])
        if parts.path == '/items':
            return 200, self._list(query['prefix'][0])
        if parts.path == '/transaction':
            return self._transact(request.body)
        return self._lease(parts.path.split('/'))

    def _get(self, key: str) -> tuple[int, bytes]:
        item = self.items.get(key)
        if item is None:
            return 404, b''
        return 200, msgspec.json.encode(item)

    def _list(self, prefix: str) -> bytes:
        rows = [
            row for key, row in self.items.items() if key.startswith(prefix)
        ]
        return msgspec.json.encode(PlainPage(rows, self.revision))

    def _transact(self, body: bytes) -> tuple[int, bytes]:
        transaction = msgspec.json.decode(body, type=PlainTransaction)
        for key, revision in transaction.expected.items():
            if self._revision_of(key) != revision:
                return 412, b'[]'
        leases = {lease for _, _, lease in transaction.writes if lease}
        if leases - self.leases.keys():
            return 404, b''
        self.revision += 1
        for name, content, lease in transaction.writes:
            self._set(name, content, lease)
        for removed_key in transaction.removed:
            self.items.pop(removed_key, None)
        return 200, str(self.revision).encode()

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item else 0

    def _lease(self, path: list[str]) -> tuple[int, bytes]:
        verb, number = path[2], int(path[3])
        if verb == 'new' and number < self.min_lease_ms:
            return 400, b''
        if verb == 'new':
            lease = len(self.leases) + 100 + self.revision
            self.leases[lease] = (number / 1000, self.clock())
            return 200, str(lease).encode()
        if number not in self.leases:
            return 404, b''
        if verb == 'renew':
            self.leases[number] = (self.leases[number][0], self.clock())
        else:
            self.end_lease(number)
        return 200, b''

    def _expire(self) -> None:
        now = self.clock()
        expired = [
            lease
            for lease, (seconds, renewed_at) in self.leases.items()
            if now - renewed_at > seconds
        ]
        for lease in expired:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove the items attached to it."""
        self.leases.pop(lease)
        held = [key for key, row in self.items.items() if row.lease == lease]
        for key in held:
            self.remove(key)
