"""Share the bytes that a node holds for callers and upstreams.

Bodies of requests and parts of responses are counted before they are read.
What finds no room is refused or passed on unread, so that slow callers and
upstreams cannot make the node outgrow its memory. Sizes are in bytes, times in
seconds.
"""

from collections import deque
from dataclasses import dataclass, field

#: Bytes up to which a body is small. Small ones and larger ones may each use a
#: part of the budget, so that neither keeps out the other.
SMALL_BYTES = 65_536
LARGE_PART = 0.75
SMALL_PART = 0.75
#: Bytes up to which a request holds nothing of the budget: its connection has
#: them, so that small requests are read while crowds hold all of the budget.
FREE_BYTES = 8192
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
    #: What of it small bodies hold.
    _small: int = 0
    #: Times of releases and their bytes, oldest first.
    _released: deque[tuple[float, int]] = field(default_factory=deque)
    _released_bytes: int = 0
    #: Time until which room that comes free is planned for refused callers.
    _planned_until: float = float('-inf')

    def try_take(self, size: int, total: int, grown_from: int = 0) -> bool:
        """Take some bytes for a holder that has ``total`` with them.

        A small body that grows beyond that is a large one from then on.
        """
        if self.held + size > self.capacity:
            return False
        small = self._small - _small_part(grown_from)
        if total <= SMALL_BYTES:
            small += grown_from + size
            if small > self.capacity * SMALL_PART:
                return False
        elif self.held + size - small > self.capacity * LARGE_PART:
            return False
        self._small = small
        self.held += size
        return True

    def release(self, size: int, now: float, left: int = 0) -> None:
        """Release what a holder of some bytes does not need of them."""
        released = size - left
        if not released:
            return
        self.held -= released
        self._small += _small_part(left) - _small_part(size)
        self._released.append((now, released))
        self._released_bytes += released
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

    @property
    def counted(self) -> int:
        """Return the bytes that are taken of the budget."""
        return _counted(self.size)

    def try_grow(self, size: int) -> bool:
        """Take more bytes; return False if there is no room for them."""
        total = self.size + size
        taken = _counted(total) - self.counted
        if not self.budget.try_take(taken, total, self.counted):
            return False
        self.size = total
        return True

    def try_reach(self, size: int) -> bool:
        """Take what is missing to hold some bytes in all."""
        return size <= self.size or self.try_grow(size - self.size)

    def shrink_to(self, size: int, now: float) -> None:
        """Release what is held beyond some bytes."""
        if self.size <= size:
            return
        before = self.counted
        self.size = size
        self.budget.release(before, now, self.counted)


def _small_part(size: int) -> int:
    """Return the bytes of a holder that count as those of a small body."""
    return size if size <= SMALL_BYTES else 0


def _counted(size: int) -> int:
    """Return how much of the budget a holder of some bytes takes."""
    return size if size > FREE_BYTES else 0
