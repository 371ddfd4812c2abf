"""Hold an answer while it arrives, for any number of readers.

An answer is a row of parts: token texts of a model, or body chunks of an
application. Offsets count parts from the begin of the whole answer.
"""

from dataclasses import dataclass, field
from itertools import islice

import anyio
from spanfall_api.frames import End, Head, Refused
from spanfall_core.reasons import DropReason

#: Parts of an application's answer are kept up to this many bytes, so that
#: a caller can read the answer again; longer ones are kept only until read.
HOLD_BYTES = 1_048_576


@dataclass(slots=True)
class Answer:
    """Collect the parts of one answer and wake its readers."""

    head: Head | None = None
    pieces: list[bytes] = field(default_factory=list)
    start: int = 0
    size: int = 0
    outcome: End | Refused | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def offset(self) -> int:
        """Return how many parts have arrived."""
        return self.start + len(self.pieces)

    def begin(self, head: Head) -> None:
        """Take status and headers, the first time only."""
        if self.head is None:
            self.head = head
            self._wake()

    def add(self, offset: int, pieces: tuple[bytes, ...]) -> DropReason | None:
        """Append parts at their offset; parts that are here are skipped.

        Return why nothing was taken, or None.
        """
        known = self.offset - offset
        if self.outcome is not None or known < 0:
            return DropReason.OFFSET_GAP
        if known and known >= len(pieces):
            return DropReason.DUPLICATE_OFFSET
        fresh = pieces[known:] if known else pieces
        self.pieces.extend(fresh)
        self.size += sum(map(len, fresh))
        self._wake()
        return None

    def finish(self, outcome: End | Refused) -> bool:
        """Set the outcome, once; an end must be at the offset reached."""
        if self.outcome is not None:
            return False
        if isinstance(outcome, End) and outcome.offset != self.offset:
            return False
        self.outcome = outcome
        self._wake()
        return True

    def read(self, offset: int) -> list[bytes]:
        """Return the parts that are here from an offset on."""
        return list(islice(self.pieces, offset - self.start, None))

    def trim(self, offset: int) -> None:
        """Forget parts before the offset, of an answer too long to keep."""
        if self.size <= HOLD_BYTES or offset <= self.start:
            return
        dropped = self.pieces[: offset - self.start]
        self.pieces = self.pieces[offset - self.start :]
        self.start = offset
        self.size -= sum(map(len, dropped))

    async def wait_beyond(self, offset: int) -> None:
        """Wait until there are parts after the offset, or an outcome."""
        while self.offset <= offset and self.outcome is None:
            await self.changed.wait()

    async def wait_head(self) -> None:
        """Wait until there is a head, a part or an outcome."""
        while self._is_empty():
            await self.changed.wait()

    def _is_empty(self) -> bool:
        return self.head is None and not self.offset and self.outcome is None

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
