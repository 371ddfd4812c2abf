"""Hold the limits of workspaces, and those that were in force lately."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Limit:
    """State the limit of a workspace, in units a second and at once."""

    rate: float
    burst: float
    #: Seconds of the window.
    window: float

    @property
    def total(self) -> float:
        """Return the units of one window."""
        return self.rate * self.window + self.burst


@dataclass(frozen=True, slots=True)
class Tolerance:
    """State how much more than a limit the platform lets run in a window."""

    fraction: float = 0
    units: float = 0

    def extra_units(self, limit: Limit) -> float:
        """Return the units that may run beyond a limit."""
        return limit.total * self.fraction + self.units


Limits = Mapping[str, Limit]
#: Limits of before, with the time until which each still counts.
FormerLimits = deque[tuple[float, Limit]]


@dataclass(slots=True)
class EffectiveLimits:
    """Hold each span to the limits that were in force during it.

    A lower limit binds one window after it came: until then, the window holds
    spending that the higher one allowed. Without this, each workspace whose
    limit falls below what it just spent gets nothing for most of a window.
    """

    _configured: Limits = field(default_factory=dict)
    _former: dict[str, FormerLimits] = field(default_factory=dict)

    def at(self, configured: Limits, now: float) -> dict[str, Limit]:
        """Return the limits that bind now, given those that are configured."""
        if configured != self._configured:
            self._record_lowered(configured, now)
            self._configured = configured
        if not self._former:
            return dict(configured)
        return {
            name: self._effective(name, limit, now)
            for name, limit in configured.items()
        }

    def _record_lowered(self, configured: Limits, now: float) -> None:
        for name, before in self._configured.items():
            limit = configured.get(name)
            if limit is not None and limit.total < before.total:
                until = now + before.window
                self._former.setdefault(name, deque()).append((until, before))

    def _effective(self, name: str, limit: Limit, now: float) -> Limit:
        former = self._former.get(name)
        while former and former[0][0] <= now:
            former.popleft()
        if not former:
            self._former.pop(name, None)
            return limit
        known = (row for _, row in former)
        return max(limit, *known, key=_total)


def _total(limit: Limit) -> float:
    return limit.total
