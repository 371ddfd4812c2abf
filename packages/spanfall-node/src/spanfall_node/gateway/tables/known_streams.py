"""Track what began the streams that callers may resume."""

from collections import deque
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.known.stream_origins import (
    MAX_RECORDS,
    StreamOrigins,
    StreamRecord,
)
from spanfall_core.gateway.known.version_history import RouteHistory


@dataclass(slots=True)
class KnownStreams:
    """Hold the origins of streams, and those that copies lack."""

    table: StreamOrigins = field(default_factory=StreamOrigins)
    routes: RouteHistory = field(default_factory=RouteHistory)
    #: Addresses of some nodes that keep copies.
    keepers: tuple[str, ...] = ()
    #: Set while there are records that copies lack.
    has_uncopied: anyio.Event = field(default_factory=anyio.Event)
    _uncopied: deque[StreamRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )

    def record(self, record: StreamRecord, now: float) -> None:
        """Add a record; if it tells something new, copies lack it."""
        if self.table.record(record, now):
            self._uncopied.append(record)
            self.has_uncopied.set()

    def take_uncopied(self) -> list[StreamRecord]:
        """Return the records that copies lack, and begin a new list."""
        records = list(self._uncopied)
        self._uncopied.clear()
        self.has_uncopied = anyio.Event()
        return records
