"""Show at the home how the units of one limit are distributed."""

from dataclasses import dataclass
from math import inf


@dataclass(slots=True)
class LimitUsage:
    """Show how the units of one limit are distributed."""

    total: float
    spent: float
    #: Units that live entries may hold, and those they may spend in addition
    #: without a home.
    held: float
    beyond: float
    #: Units that silent and missing entries may still spend.
    silent_units: float
    #: Units of ``beyond`` and ``silent_units`` that the tolerance covers.
    covered: float
    #: Units that live entries may hold or get now, if the limit is paced.
    released: float = inf

    @property
    def pool(self) -> float:
        """Return the units that no entry has spent or may hold."""
        uncovered = max(0, self.silent_units + self.beyond - self.covered)
        left = self.total - self.spent - self.held - uncovered
        return min(left, self.released - self.held)

    @property
    def level(self) -> float:
        """Return the units left, in the pool or held by live entries."""
        return self.total - self.spent - self.silent_units

    def free_beyond(self, live: int) -> float:
        """Return what one entry may spend beyond its units without a home."""
        free = self.covered - self.silent_units
        return max(0, min(free / live, free - self.beyond))
