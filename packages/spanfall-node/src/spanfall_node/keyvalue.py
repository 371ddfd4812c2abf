"""Define the port to the platform's key-value service.

Adapters raise StoreUnavailableError if a call certainly had no effect, and
StoreUncertainError if a write may have taken effect although its answer was
lost. Revisions are numbers that grow with each write.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """Tell that a call to the key-value service failed."""


class StoreUnavailableError(StoreError):
    """Tell that a call certainly had no effect."""


class StoreUncertainError(StoreError):
    """Tell that a write may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """Hold a key, its value, and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold the entries under a prefix as of a revision of the store."""

    entries: Sequence[KeyEntry]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Tell of one write; ``deleted`` entries have an empty value."""

    entry: KeyEntry
    deleted: bool = False


class KeyValue(Protocol):
    """Say what spanfall needs of a key-value service."""

    async def get(self, key: str) -> KeyEntry | None:
        """Return the entry of a key, or None."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Return the entries whose keys begin with the prefix, in order."""

    async def create(self, key: str, value: bytes, lease: int = 0) -> bool:
        """Write the key if it is absent; return whether it was."""

    async def replace(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: int = 0,
    ) -> bool:
        """Write the key if its revision is as given; zero is absent."""

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write the key, whatever it holds; it ends with the lease."""

    async def delete(self, key: str) -> None:
        """Delete the key, if it is there."""

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""

    def watch(self, prefix: str, after: int) -> AsyncIterator[WatchEvent]:
        """Yield the writes under a prefix that follow a store revision."""
