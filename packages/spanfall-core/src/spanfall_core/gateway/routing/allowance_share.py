"""Determine an entry's share of an allowance that the whole fleet has in common.

Nodes that have lost each other are told different numbers of entries, and a
process that starts knows nothing of the one before it on its host. The shares
of all processes that lived within one window must add up to the allowance all
the same. So an entry holds a share only on the word of a current home, of a
size by the largest number of entries that any process may still divide by.
"""

from collections import deque
from dataclasses import dataclass, field

#: Seconds for which an entry holds its share after the last word of a home:
#: longer than most changes of the home, and than the longest period of reports.
LEASE_SECONDS = 4.0


@dataclass(slots=True)
class AllowanceShare:
    """Hold what homes told one process of the number of entries."""

    #: Seconds in which the allowance may be spent once: the window of the limit
    #: and the time that what was sent may take to arrive.
    window: float
    #: Seconds for which a home that is cut off may take itself for the home.
    home_lease: float
    started_at: float = 0
    #: Time of the last report that a home answered with a number of entries.
    told_at: float = float('-inf')
    #: Numbers told, each with its time; the largest comes first.
    _told: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def memory(self) -> float:
        """Return the seconds for which a number of entries counts.

        Entries that another home was the last to tell may hold their shares
        until its lease and theirs are over, and spend them until then.
        """
        return self.window + LEASE_SECONDS + self.home_lease

    def tell(self, entries: int, at: float) -> None:
        """Record the number of entries that a home told."""
        while self._told and self._told[-1][1] <= entries:
            self._told.pop()
        self._told.append((at, entries))
        self.told_at = max(self.told_at, at)

    def largest_count(self, now: float) -> int:
        """Return the largest number of entries that counts, or 0."""
        while self._told and self._told[0][0] < now - self.memory:
            self._told.popleft()
        return self._told[0][1] if self._told else 0

    def part(self, now: float) -> float:
        """Return the part of the allowance that this entry holds, 0 to 1."""
        is_settled = now - self.started_at >= self.memory
        is_told = now - self.told_at <= LEASE_SECONDS
        if not (is_settled and is_told):
            return 0
        return 1 / max(1, self.largest_count(now))
