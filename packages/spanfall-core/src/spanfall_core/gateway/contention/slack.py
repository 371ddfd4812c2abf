"""Order the held requests of one workspace by the time they have left."""

from bisect import bisect_left, bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, unique


@unique
class Rank(IntEnum):
    """Rank the requests of a workspace; the lowest rank is served first."""

    #: Was rejected before and came back when it was told to.
    RETURNING = 0
    #: Can still meet its latency target.
    ON_TIME = 1
    #: Can only meet its deadline.
    LATE = 2


#: Rank, time by which it is to be served, and ticket.
Position = tuple[Rank, float, int]


@dataclass(slots=True)
class SlackOrder:
    """Hold positions in order, with the units of each.

    Both lists are bounded by the requests that one workspace may have held, so
    an insertion and a sum take microseconds.
    """

    positions: list[Position] = field(default_factory=list)
    _units: list[float] = field(default_factory=list)

    def add(self, position: Position, units: float) -> None:
        """Insert a request."""
        index = bisect_left(self.positions, position)
        self.positions.insert(index, position)
        self._units.insert(index, units)

    def remove(self, position: Position) -> float:
        """Remove a request and return its units."""
        index = bisect_left(self.positions, position)
        self.positions.pop(index)
        return self._units.pop(index)

    def before(
        self, position: Position, skipped: Position | None = None
    ) -> float:
        """Return the units of all requests before a position.

        The one at the ``skipped`` position, if any, does not count.
        """
        index = bisect_left(self.positions, position)
        if skipped is None or skipped >= position:
            return sum(self._units[:index])
        at = bisect_left(self.positions, skipped)
        next_at = bisect_right(self.positions, skipped)
        return sum(self._units[:at]) + sum(self._units[next_at:index])

    def demote_missed(
        self,
        starts_by: float,
        late_position: Callable[[int], Position],
    ) -> None:
        """Move the first requests to the late ones if they missed their target.

        A target is missed if it lies before ``starts_by``.
        """
        while self.positions:
            rank, target_at, ticket = self.positions[0]
            if rank is not Rank.ON_TIME or target_at >= starts_by:
                break
            units = self.remove(self.positions[0])
            self.add(late_position(ticket), units)
