"""Track what began the streams that callers may resume."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import anyio
from spanfall_core.gateway.known.stream_origins import (
    MAX_RECORDS,
    StreamOrigins,
    StreamRecord,
)
from spanfall_core.gateway.known.version_history import RouteHistory


class RouteAge(NamedTuple):
    """Name a route, and the seconds for which its streams may exist."""

    route: str
    max_age: float


@dataclass(slots=True)
class KnownStreams:
    """Hold the origins of streams, those that copies lack and unstored ones."""

    table: StreamOrigins = field(default_factory=StreamOrigins)
    routes: RouteHistory = field(default_factory=RouteHistory)
    #: Addresses of some nodes that keep copies.
    keepers: tuple[str, ...] = ()
    #: Set while there are records that copies lack.
    has_uncopied: anyio.Event = field(default_factory=anyio.Event)
    #: Epoch of the tenure in which this node has read the store's records.
    read_in: int = 0
    #: Streams that the store lacks, if this node is the home.
    unstored: deque[StreamRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    _uncopied: deque[StreamRecord] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    #: Streams that began at this node, which the home need not know of yet.
    _own: defaultdict[RouteAge, deque[StreamRecord]] = field(
        default_factory=lambda: defaultdict(partial(deque, maxlen=MAX_RECORDS))
    )

    def record(self, record: StreamRecord, now: float) -> None:
        """Add a record; if it names another origin than known, copies lack it."""
        known = self.table.find(record.key, now)
        if self.table.record(record, now) and known != record.origin:
            self._uncopied.append(record)
            self.has_uncopied.set()

    def begin(self, kind: RouteAge, record: StreamRecord, now: float) -> None:
        """Record a stream that begins at this node."""
        self.record(record, now)
        self._own[kind].append(record)

    def take_own(
        self, is_wanted: Callable[[RouteAge], bool], now: float
    ) -> list[StreamRecord]:
        """Return the streams of some routes that began at this node, once."""
        taken = []
        for kind, records in self._own.items():
            while records and records[0].expires_at <= now:
                records.popleft()
            if records and is_wanted(kind):
                taken.extend(records)
                records.clear()
        return taken

    def take_uncopied(self) -> list[StreamRecord]:
        """Return the records that copies lack, and begin a new list."""
        records = list(self._uncopied)
        self._uncopied.clear()
        self.has_uncopied = anyio.Event()
        return records
