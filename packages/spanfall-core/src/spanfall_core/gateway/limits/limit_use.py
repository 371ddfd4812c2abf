"""State where the units of a limit are at one moment."""

from dataclasses import dataclass

from spanfall_core.gateway.known.limits import Limit


@dataclass(slots=True)
class LimitUse:
    """State where the units of one limit are."""

    limit: Limit
    spent: float
    #: What entries that are heard may hold, and may spend beyond it alone.
    held: float
    beyond: float
    #: What those may still spend that are not heard.
    hidden: float
    #: What the tolerance covers of the last two.
    covered: float

    @property
    def pool(self) -> float:
        """Return the units that nobody spent or may hold."""
        uncovered = max(0, self.hidden + self.beyond - self.covered)
        return self.limit.total - self.spent - self.held - uncovered

    @property
    def outstanding(self) -> float:
        """Return what was spent in the window or may still be."""
        return self.spent + self.held + max(0, self.hidden)

    @property
    def level(self) -> float:
        """Return what is left, in the pool or held by entries heard."""
        return self.limit.total - self.spent - self.hidden

    def free_cover(self, live: int) -> float:
        """Return what one more entry may spend beyond what it holds, alone."""
        free = self.covered - self.hidden
        return max(0, min(free / live, free - self.beyond))
