"""Sum up at the home what all entries spent of the limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    ByAge,
    Spending,
    TimedUnits,
    sum_ages,
)

#: Part of a limit of which a workspace's spending is recorded in the store:
#: less than the usual load, so that this is known after a restart of all.
RECORDED_PART = 0.25
#: Part of a limit that a new home takes as spent at least, for a whole window,
#: where no entry tells: the record may be old, as the store may have been away.
#: In the model of 8 nodes 0.5 refuses 0.037 of the usual requests after a
#: restart of all, this 0.012; 0.35 passes a limit in 1 of 60 courses.
ASSUMED_PART = 0.42
#: Seconds for which the record takes spending to go on at the rate that was
#: seen last: what was heard is a report old, the record itself a look and a
#: write, and both are later on busy hosts.
UNHEARD_SECONDS = 0.6
#: Seconds over which that rate is measured, the fastest of them counts: a short
#: time sees pressure begin, a long one holds while reports are late.
RATE_SECONDS = (0.3, 1.0)


@dataclass(slots=True)
class TimeBefore:
    """Hold what may have been spent before a home whom no entry tells.

    What the record does not know of may all have been in the last moment, so
    it leaves the window as if it had been spent as this home began.
    """

    #: What the record says, by its ages.
    recorded: Spending = field(default_factory=Spending)
    #: What is taken as spent whatever the record says.
    least: Spending = field(default_factory=Spending)

    def larger(self, limit: Limit, now: float) -> Spending:
        """Return which of both is more in the window that ends now."""
        recorded = self.recorded.recent(limit.window, now)
        least = self.least.recent(limit.window, now)
        return self.recorded if recorded > least else self.least


@dataclass(slots=True)
class FleetSpending:
    """Hold what was spent in the last window, by workspace."""

    #: What the home before recorded, by workspace and age in seconds.
    recorded: Mapping[str, ByAge] = field(default_factory=dict)
    #: Whether no entry could tell of the time before this home.
    is_assumed: bool = True
    _spent: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    _before: dict[str, TimeBefore] = field(default_factory=dict)

    def begin(self, limits: Limits, now: float) -> None:
        """Take the time before this home as it may have been."""
        for workspace, limit in limits.items():
            self._before_of(workspace, limit, now)

    def add(self, workspace: str, units: float, now: float) -> None:
        """Add units that an entry spent."""
        self._of(workspace).add(units, now)

    def recall(self, workspace: str, by_age: ByAge, now: float) -> None:
        """Add what an entry spent before it was heard."""
        self._of(workspace).recall(by_age, now)

    def count_returned(self, rows: Mapping[str, TimedUnits], sign: int) -> None:
        """Count units that came back, or with a sign of -1 no longer."""
        for workspace, pieces in rows.items():
            total = self._returned.setdefault(workspace, Spending())
            for at, units in pieces:
                total.add(sign * units, at)

    def recent(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what was spent in the window that ends now."""
        spent = self._known(workspace, limit, now)
        if not self.is_assumed:
            return spent
        before = self._before_of(workspace, limit, now)
        return spent + before.larger(limit, now).spent

    def pressed(self, limits: Limits, now: float) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that use much."""
        return {
            workspace: self._by_age(workspace, limit, now)
            for workspace, limit in limits.items()
            if self._is_pressed(workspace, limit, now)
        }

    def _is_pressed(self, workspace: str, limit: Limit, now: float) -> bool:
        """Tell whether what is known to be spent is worth a record."""
        spent = self._known(workspace, limit, now)
        if self.is_assumed:
            before = self._before_of(workspace, limit, now)
            spent += before.recorded.recent(limit.window, now)
        return spent > limit.total * RECORDED_PART

    def _known(self, workspace: str, limit: Limit, now: float) -> float:
        spent = self._of(workspace).recent(limit.window, now)
        returned = self._returned.get(workspace)
        if returned is None:
            return spent
        return spent - returned.recent(limit.window, now)

    def _by_age(self, workspace: str, limit: Limit, now: float) -> ByAge:
        rows = [self._of(workspace).by_age(now)]
        rows.append([self._unheard(workspace, limit, now)])
        if self.is_assumed:
            before = self._before_of(workspace, limit, now)
            rows.append(before.larger(limit, now).by_age(now))
        return sum_ages(rows)

    def _unheard(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what is spent until a home without this record follows."""
        spent = self._of(workspace)
        rate = max(spent.rate(seconds, now) for seconds in RATE_SECONDS)
        left = limit.total - self.recent(workspace, limit, now)
        return max(0, min(rate * UNHEARD_SECONDS, left))

    def _of(self, workspace: str) -> Spending:
        return self._spent.setdefault(workspace, Spending())

    def _before_of(
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> TimeBefore:
        before = self._before.get(workspace)
        if before is None:
            before = TimeBefore()
            before.recorded.recall(self.recorded.get(workspace, ()), now)
            before.least.add(limit.total * ASSUMED_PART, now)
            self._before[workspace] = before
        return before
