"""Let work out of all proportion to its bytes take turns.

A request of 16 KB in fields of two bytes, or a body in chunks of one byte,
costs as much processor time as hundreds of ordinary requests. Such work is cut
into turns: one at a time for the whole node, each followed by a pause as long as
the turn, which is left to everything else. In calm a turn begins at once.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import anyio

#: Bytes of a body after which the rest is read in turns: many large bodies at
#: once would let all others wait for a read of each.
BULK_BYTES = 262_144
#: The same of a response.
BULK_RESPONSE_BYTES = 65_536
#: Seconds left to others after each read of a large response.
BULK_PAUSE_SECONDS = 0.0002
#: Pauses of so many seconds in all are made up for later: the event loop can't
#: sleep for less.
SHORT_PAUSE_SECONDS = 0.001
#: Seconds after which a client that waits for its turn is refused.
MAX_WAIT_SECONDS = 2.0


class NoTurnError(Exception):
    """Report that other costly work leaves no turn in time."""


@dataclass(slots=True)
class Turns:
    """Hold when the next turn may begin."""

    now: Callable[[], float]
    _lock: anyio.Lock = field(default_factory=anyio.Lock)
    _free_at: float = float('-inf')

    @asynccontextmanager
    async def take(
        self, weight: float = 1, pause: float = 0
    ) -> AsyncIterator[None]:
        """Wait for a turn, which must not wait for anything.

        The next one begins after a pause of ``weight`` times the turn, or of
        ``pause`` seconds if that is longer.

        Raises:
            NoTurnError: others wait, too many to get a turn in time.
        """
        if not await self._acquire():
            raise NoTurnError(
                f'no turn for costly work within {MAX_WAIT_SECONDS} s'
            )
        began_at = self.now()
        try:
            yield
        finally:
            ended_at = self.now()
            rest = max(pause, weight * (ended_at - began_at))
            self._free_at = max(self._free_at, ended_at) + rest
            self._lock.release()

    async def read_bulk(self, size: int) -> None:
        """Let others go first if a body of some bytes so far is large.

        Nobody is refused for the work that an upstream has done already.
        """
        if size > BULK_RESPONSE_BYTES:
            with suppress(NoTurnError):
                async with self.take(pause=BULK_PAUSE_SECONDS):
                    return

    async def _acquire(self) -> bool:
        """Wait for a turn; return False if there is none in time."""
        with anyio.move_on_after(MAX_WAIT_SECONDS):
            await self._lock.acquire()
            try:
                await self._wait()
            except BaseException:
                self._lock.release()
                raise
            return True
        return False

    async def _wait(self) -> None:
        """Wait for the pauses of earlier turns, short ones all at once."""
        seconds = self._free_at - self.now()
        await anyio.sleep(seconds if seconds > SHORT_PAUSE_SECONDS else 0)
