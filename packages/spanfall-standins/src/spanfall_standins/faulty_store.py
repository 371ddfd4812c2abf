"""Keep a key-value table in memory that fails as it is told to."""

import random
import time
from collections import Counter
from collections.abc import AsyncIterator

from spanfall_node.embedded import EmbeddedKeyValue
from spanfall_node.keyvalue import (
    KeyEntry,
    Listing,
    StoreUnavailableError,
    StoreUncertainError,
    WatchEvent,
)

READ = 'read'
WRITE = 'write'
RENEWAL = 'renewal'


class FaultyStore(EmbeddedKeyValue):
    """Count calls, answer none while ``down``, and lose answers of writes.

    ``lose`` counts the swaps whose effect happens but whose answer is lost,
    of keys that begin with ``lose_prefix``; ``lose_share`` loses them by
    chance. While ``silent``, watches deliver nothing.
    """

    def __init__(self, seed: int = 1) -> None:
        """Start without faults; the seed decides what is lost by chance."""
        super().__init__(time.monotonic)
        self.down = False
        self.silent = False
        self.lose = 0
        self.lose_prefix = ''
        self.lose_share = 0.0
        self.calls: Counter[str] = Counter()
        self._random = random.Random(seed)

    async def get(self, key: str) -> KeyEntry | None:
        """Read, unless the store is down."""
        self._count(READ)
        return await super().get(key)

    async def list_prefix(self, prefix: str) -> Listing:
        """List, unless the store is down."""
        self._count(READ)
        return await super().list_prefix(prefix)

    async def replace(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: int = 0,
    ) -> bool:
        """Write, unless the store is down; perhaps lose the answer."""
        self._count(WRITE)
        done = await super().replace(key, value, revision, lease)
        if self._loses(key):
            raise StoreUncertainError('lost')
        return done

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write, unless the store is down."""
        self._count(WRITE)
        await super().put(key, value, lease)

    async def keep_alive(self, lease: int) -> bool:
        """Renew, unless the store is down."""
        self._count(RENEWAL)
        return await super().keep_alive(lease)

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[WatchEvent]:
        """Yield events, but none while silent."""
        async for event in super().watch(prefix, after):
            if not self.silent:
                yield event

    def _count(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.down:
            raise StoreUnavailableError('down')

    def _loses(self, key: str) -> bool:
        if self.lose and key.startswith(self.lose_prefix):
            self.lose -= 1
            return True
        return self._random.random() < self.lose_share
