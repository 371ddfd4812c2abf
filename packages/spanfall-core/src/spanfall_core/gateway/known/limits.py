"""Represent the limits of workspaces and track recently lowered ones."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Limit:
    """State the limit of a workspace: units per second and a burst."""

    rate: float
    burst: float
    #: Length of the window in seconds.
    window: float

    @property
    def total(self) -> float:
        """Return the units allowed in one window."""
        return self.rate * self.window + self.burst


@dataclass(frozen=True, slots=True)
class Tolerance:
    """State by how much the platform allows a window to exceed its limit."""

    fraction: float = 0
    units: float = 0

    def extra_units(self, limit: Limit) -> float:
        """Return the units that may run in excess of a limit."""
        return limit.total * self.fraction + self.units


Limits = Mapping[str, Limit]
#: Previous limits, each with the time until which it applies.
FormerLimits = deque[tuple[float, Limit]]


@dataclass(slots=True)
class EffectiveLimits:
    """Apply to each period of time the limits that were in force during it.

    A lowered limit takes effect one window after the change: until then, the
    window contains spending that the higher limit allowed. Otherwise a
    workspace whose limit drops below its recent spending would be refused for
    most of a window.
    """

    _configured: Limits = field(default_factory=dict)
    _former: dict[str, FormerLimits] = field(default_factory=dict)

    def at(self, configured: Limits, now: float) -> dict[str, Limit]:
        """Return the limits that apply now, given the configured ones."""
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
