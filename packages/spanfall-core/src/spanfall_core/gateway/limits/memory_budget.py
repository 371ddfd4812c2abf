"""Share the bytes that a node holds for callers and upstreams.

Bodies of requests and parts of responses are counted before they are read.
What finds no room is refused or passed on unread, so that slow callers and
upstreams cannot make the node outgrow its memory. Sizes are in bytes, times in
seconds.
"""

from collections import deque
from dataclasses import dataclass, field

#: Bytes up to which a body is small. Small ones may use all of the budget,
#: larger ones only a part, so that they do not keep out the small ones.
SMALL_BYTES = 65_536
LARGE_PART = 0.75
#: Seconds over which the rate of released bytes is measured.
RATE_SECONDS = 5.0
#: Bounds of the time after which refused callers may come back, and that time
#: while nothing is released.
MIN_RETURN_SECONDS = 0.2
MAX_RETURN_SECONDS = 5.0
UNKNOWN_RETURN_SECONDS = 1.0


@dataclass(slots=True)
class MemoryBudget:
    """Hold the bytes in use and what was released lately."""

    capacity: int
    held: int = 0
    #: Times of releases and their bytes, oldest first.
    _released: deque[tuple[float, int]] = field(default_factory=deque)
    _released_bytes: int = 0
    #: Time until which room that comes free is planned for refused callers.
    _planned_until: float = float('-inf')

    def try_take(self, size: int, total: int) -> bool:
        """Take some bytes for a holder that has ``total`` with them."""
        part = 1 if total <= SMALL_BYTES else LARGE_PART
        if self.held + size > self.capacity * part:
            return False
        self.held += size
        return True

    def release(self, size: int, now: float) -> None:
        """Release bytes that were taken."""
        self.held -= size
        self._released.append((now, size))
        self._released_bytes += size
        self._forget(now)

    def plan_return(self, size: int, now: float) -> float:
        """Return the seconds after which a refused caller should come back.

        Callers are told different times, at the rate at which room comes free.
        """
        self._forget(now)
        if not self._released_bytes:
            return UNKNOWN_RETURN_SECONDS
        seconds = size * RATE_SECONDS / self._released_bytes
        latest = now + MAX_RETURN_SECONDS
        planned = max(now, self._planned_until) + seconds
        self._planned_until = min(planned, latest)
        return max(MIN_RETURN_SECONDS, self._planned_until - now)

    def _forget(self, now: float) -> None:
        while self._released and self._released[0][0] < now - RATE_SECONDS:
            self._released_bytes -= self._released.popleft()[1]


@dataclass(slots=True)
class HeldBytes:
    """Count the bytes that one request holds of the budget."""

    budget: MemoryBudget
    size: int = 0

    def try_grow(self, size: int) -> bool:
        """Take more bytes; return False if there is no room for them."""
        if not self.budget.try_take(size, self.size + size):
            return False
        self.size += size
        return True

    def try_reach(self, size: int) -> bool:
        """Take what is missing to hold some bytes in all."""
        return size <= self.size or self.try_grow(size - self.size)

    def shrink_to(self, size: int, now: float) -> None:
        """Release what is held beyond some bytes."""
        if self.size > size:
            self.budget.release(self.size - size, now)
            self.size = size
