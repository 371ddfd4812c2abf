"""Hold the connections that clients have opened at one address."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Protocol

import anyio
from prometheus_client import Counter
from spanfall_core.gateway.limits.memory_budget import HeldBytes
from spanfall_core.gateway.limits.phases import Phase, Phases
from spanfall_core.gateway.limits.progress import Progress

from spanfall_node.gateway.net.bounded_stream import BoundedStream

#: Connections whose progress is looked at before a new one, or more bytes, are
#: refused. Those that have been longest in their phase come first.
MAX_EXAMINED = 128
#: Seconds after which clients are looked at again for bodies of a size for which
#: none gave way.
EXAMINED_SECONDS = 0.02
#: Seconds without a byte after which a client gives way to one that wants much
#: less, and to any other.
PAUSE_SECONDS = 0.1
LONG_STALL_SECONDS = 2.0


class Holder(Protocol):
    """Hold bytes for a client."""

    held: HeldBytes

    def give_way(self) -> None:
        """End what the client sends or takes, and release its bytes."""


@dataclass(slots=True)
class _Row:
    """Hold what is known of one connection."""

    progress: Progress
    holder: Holder | None = None


@dataclass(slots=True)
class ConnectionTable:
    """Hold at most a number of connections.

    A new one takes the place of one that has shown no progress, so a crowd
    that holds connections and does nothing keeps nobody out.
    """

    limit: int
    now: Callable[[], float]
    #: Counts connections that were closed so that others find room.
    closed: Counter
    #: Whether requests and responses are short, so that the client that has sent
    #: or taken one for longest gives way, slow or not.
    is_brief: bool = False
    #: Held by the client that waits for room for a response.
    waits_for_room: anyio.Lock = field(default_factory=anyio.Lock)
    #: Until when no client gives way to bodies of at least some bytes.
    _none_until: float = 0
    _none_size: int = 0
    _phases: Phases[BoundedStream] = field(default_factory=Phases)
    _rows: dict[BoundedStream, _Row] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._rows)

    @property
    def is_full(self) -> bool:
        """Return whether one more connection has to take another one's place."""
        return len(self) >= self.limit

    def add(self, stream: BoundedStream) -> None:
        """Add a connection that was just accepted."""
        now = self.now()
        self._rows[stream] = _Row(Progress(now))
        has_begun = self.is_full and stream.has_bytes()
        phase = Phase.HEAD if has_begun else Phase.IDLE
        self._phases.enter(stream, phase, now)

    def hold_for(self, stream: BoundedStream, holder: Holder) -> None:
        """Record who holds the bytes of a connection."""
        row = self._rows.get(stream)
        if row is not None:
            row.holder = holder

    def remove(self, stream: BoundedStream) -> None:
        """Remove a connection that has ended."""
        self._phases.remove(stream)
        self._rows.pop(stream, None)

    def enter(self, stream: BoundedStream, phase: Phase) -> None:
        """Record what a connection does from now on."""
        row = self._rows.get(stream)
        if row is not None:
            now = self.now()
            row.progress.restart(now)
            self._phases.enter(stream, phase, now)

    def record(self, stream: BoundedStream, size: int) -> None:
        """Record bytes that a client sent or took."""
        row = self._rows.get(stream)
        if row is not None:
            row.progress.record(size, self.now())

    def make_room(self) -> bool:
        """Return whether there is room for one more connection."""
        return not self.is_full or self.close_one()

    def close_one(self) -> bool:
        """Close the connection that gives way first; return whether one does."""
        stream = self._phases.first_idle() or self._first_reading()
        if stream is None:
            return False
        self.closed.inc()
        self.remove(stream)
        stream.close()
        return True

    def free_bytes(self, size: int, try_hold: Callable[[], bool]) -> bool:
        """Let clients give way until some bytes can be held.

        Those that hold the most give way first, and only to bodies of at most
        half of what they hold, unless they have moved nothing for long: what
        takes their place would do the same otherwise.
        """
        now = self.now()
        if now < self._none_until and size >= self._none_size:
            return False
        rows = [self._rows[stream] for stream in self._examined()]
        rows.sort(key=_held, reverse=True)
        for row in rows:
            if not _gives_way(row, size, now):
                continue
            self.closed.inc()
            row.holder.give_way()
            if try_hold():
                return True
        self._none_until = now + EXAMINED_SECONDS
        self._none_size = size
        return False

    def _first_reading(self) -> BoundedStream | None:
        """Return a connection whose client sends or takes bytes too slowly.

        If there is none, a head that is not complete gives way: one that came
        in time would be.
        """
        if self.is_brief:
            return next(self._examined(), None)
        now = self.now()
        slow = (
            stream
            for stream in self._examined()
            if self._rows[stream].progress.is_slow(now)
        )
        return next(chain(slow, self._phases.oldest(Phase.HEAD)), None)

    def _examined(self) -> Iterator[BoundedStream]:
        return chain.from_iterable(
            islice(self._phases.oldest(phase), MAX_EXAMINED)
            for phase in (Phase.HEAD, Phase.BODY, Phase.WRITING)
        )


def _gives_way(row: _Row, size: int, now: float) -> bool:
    """Return whether a client gives way to a body of some bytes."""
    held = _held(row)
    stalled = row.progress.stalled_seconds(now)
    if not held or stalled >= LONG_STALL_SECONDS:
        return held > 0
    has_paused = stalled >= PAUSE_SECONDS or row.progress.is_slow(now)
    return has_paused and held >= 2 * size


def _held(row: _Row) -> int:
    """Return the bytes of the budget that a client holds."""
    return 0 if row.holder is None else row.holder.held.counted
