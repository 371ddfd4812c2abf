"""Keep a key-value table in memory, for demo, tests and the stand-in.

It has the semantics of the platform's service: compare-and-swap, leases and
watches. It lives as long as its process and is shared by reference.
"""

from bisect import bisect_left
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from itertools import count

import anyio

from spanfall_node.keyvalue import (
    KeyEntry,
    Listing,
    StoreUnavailableError,
    WatchEvent,
)

#: Events kept for watches that start at an earlier revision.
MAX_HISTORY = 10_000
#: Largest value that the platform's service takes (brief).
MAX_VALUE_BYTES = 1_048_576


@dataclass(slots=True)
class Lease:
    """Hold until when a lease lasts and which keys end with it."""

    seconds: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


class EmbeddedKeyValue:
    """Implement the key-value port in memory."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Use the clock for leases."""
        self._clock = clock
        self._entries: dict[str, KeyEntry] = {}
        self._history: deque[WatchEvent] = deque(maxlen=MAX_HISTORY)
        self._leases: dict[int, Lease] = {}
        self._lease_ids = count(1)
        self._changed = anyio.Event()
        self.revision = 0

    async def get(self, key: str) -> KeyEntry | None:
        """Return the entry of a key, or None."""
        self._expire()
        return self._entries.get(key)

    async def list_prefix(self, prefix: str) -> Listing:
        """Return the entries under a prefix, in order of their keys."""
        self._expire()
        entries = [
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix)
        ]
        return Listing(entries, self.revision)

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
        self._expire()
        known = self._entries.get(key)
        known_revision = 0 if known is None else known.revision
        if known_revision != revision:
            return False
        self._attach(key, lease)
        self._write(key, value)
        return True

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write the key, whatever it holds; it ends with the lease."""
        self._expire()
        self._attach(key, lease)
        self._write(key, value)

    async def delete(self, key: str) -> None:
        """Delete the key, if it is there."""
        self._expire()
        if key in self._entries:
            self._remove(key)

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = Lease(seconds, self._clock() + seconds)
        return lease_id

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""
        self._expire()
        row = self._leases.get(lease)
        if row is None:
            return False
        row.ends_at = self._clock() + row.seconds
        return True

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[WatchEvent]:
        """Yield the writes under a prefix that follow a revision."""
        seen = after
        while True:
            changed = self._changed
            for event in self._events_after(seen):
                seen = event.entry.revision
                if event.entry.key.startswith(prefix):
                    yield event
            await changed.wait()

    def _events_after(self, revision: int) -> list[WatchEvent]:
        history = self._history
        oldest = history[0].entry.revision if history else self.revision + 1
        if revision + 1 < oldest and revision < self.revision:
            raise StoreUnavailableError('the watch begins too far back')
        start = bisect_left(
            history,
            revision + 1,
            key=lambda event: event.entry.revision,
        )
        return list(history)[start:]

    def _attach(self, key: str, lease: int) -> None:
        row = self._leases.get(lease)
        if lease and row is None:
            raise StoreUnavailableError('the lease has lapsed')
        for other in self._leases.values():
            other.keys.discard(key)
        if row is not None:
            row.keys.add(key)

    def _write(self, key: str, value: bytes) -> None:
        if len(value) > MAX_VALUE_BYTES:
            raise StoreUnavailableError('the value is larger than a megabyte')
        self.revision += 1
        entry = KeyEntry(key, value, self.revision)
        self._entries[key] = entry
        self._record(WatchEvent(entry))

    def _remove(self, key: str) -> None:
        self._entries.pop(key)
        self.revision += 1
        entry = KeyEntry(key, b'', self.revision)
        self._record(WatchEvent(entry, deleted=True))

    def _record(self, event: WatchEvent) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = anyio.Event()

    def _expire(self) -> None:
        now = self._clock()
        lapsed = [
            lease_id
            for lease_id, row in self._leases.items()
            if row.ends_at <= now
        ]
        for lease_id in lapsed:
            row = self._leases.pop(lease_id)
            for key in row.keys & self._entries.keys():
                self._remove(key)
