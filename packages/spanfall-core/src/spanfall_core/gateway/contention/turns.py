"""Choose the urgency level that gets the next turn."""

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from spanfall_core.gateway.contention.levels import Level

#: One of so many consecutive turns goes to a less urgent level, if one waits.
#: So with n levels waiting, each gets one of (n - 1) times as many turns.
TURNS_PER_YIELD = 10
#: Share of the turns that all less urgent levels together get at least.
LEAST_SHARE = 1 / TURNS_PER_YIELD


@dataclass(slots=True)
class TurnOrder:
    """Hold the levels of a service and the turns that they got."""

    levels: dict[int, Level] = field(default_factory=dict)
    #: Priorities of the levels with waiting requests, the most urgent first.
    waiting: list[int] = field(default_factory=list)
    _turns: int = 0
    #: Turns of the most urgent level since another one got one.
    _urgent_turns: int = 0

    def level(self, priority: int) -> Level:
        """Return the level of a priority."""
        level = self.levels.get(priority)
        if level is None:
            level = Level()
            self.levels[priority] = level
        return level

    def begin_waiting(self, priority: int) -> None:
        """Let a level without waiting requests compete for turns."""
        if not self.level(priority).waiting:
            insort(self.waiting, priority)
            self.level(priority).last_turn = self._turns

    def end_waiting(self, priority: int) -> None:
        """Let a level whose last request was removed no longer compete."""
        if not self.level(priority).waiting:
            self.waiting.pop(bisect_left(self.waiting, priority))

    def next_priority(self) -> int | None:
        """Return the priority that gets the next turn, if any waits."""
        if not self.waiting:
            return None
        if self.is_yielding:
            return min(
                self.waiting[1:],
                key=lambda priority: self.levels[priority].last_turn,
            )
        return self.waiting[0]

    @property
    def is_yielding(self) -> bool:
        """Return whether the next turn goes to a less urgent level."""
        return (
            len(self.waiting) > 1 and self._urgent_turns >= TURNS_PER_YIELD - 1
        )

    def record_turn(self, priority: int) -> None:
        """Count a turn of a level."""
        self._turns += 1
        self.level(priority).last_turn = self._turns
        if self.waiting and priority > self.waiting[0]:
            self._urgent_turns = 0
        elif len(self.waiting) > 1:
            self._urgent_turns += 1
