"""Sum up at the home what all entries spent of the limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.limits import Limit, Limits
from spanfall_core.gateway.spending import (
    ByAge,
    Pieces,
    Spending,
    sum_ages,
)

#: Part of a limit that a new home takes as spent where neither an entry nor
#: the record in the store tells: the record is kept while more is spent.
UNRECORDED_PART = 0.5


@dataclass(slots=True)
class FleetSpending:
    """Hold what was spent in the last window, by workspace."""

    #: What the home before recorded, by workspace and age in seconds.
    recorded: Mapping[str, ByAge] = field(default_factory=dict)
    #: Whether no entry could tell of the time before this home.
    is_assumed: bool = True
    _spent: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    _assumed: dict[str, Spending] = field(default_factory=dict)

    def begin(self, limits: Limits, now: float) -> None:
        """Take the time before this home as it may have been."""
        for workspace, limit in limits.items():
            self._assumed_of(workspace, limit, now)

    def add(self, workspace: str, units: float, now: float) -> None:
        """Add units that an entry spent."""
        self._of(workspace).add(units, now)

    def recall(self, workspace: str, by_age: ByAge, now: float) -> None:
        """Add what an entry spent before it was heard."""
        self._of(workspace).recall(by_age, now)

    def count_returned(self, rows: Mapping[str, Pieces], sign: int) -> None:
        """Count units that came back, or with a sign of -1 no longer."""
        for workspace, pieces in rows.items():
            total = self._returned.setdefault(workspace, Spending())
            for at, units in pieces:
                total.add(sign * units, at)

    def recent(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what was spent in the window that ends now."""
        spent = self._of(workspace).recent(limit.window, now)
        returned = self._returned.get(workspace)
        if returned is not None:
            spent -= returned.recent(limit.window, now)
        if not self.is_assumed:
            return spent
        assumed = self._assumed_of(workspace, limit, now)
        return spent + assumed.recent(limit.window, now)

    def pressed(self, limits: Limits, now: float) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that use much."""
        return {
            workspace: self._by_age(workspace, now)
            for workspace, limit in limits.items()
            if self.recent(workspace, limit, now)
            > limit.total * UNRECORDED_PART
        }

    def _by_age(self, workspace: str, now: float) -> ByAge:
        rows = [self._of(workspace).by_age(now)]
        assumed = self._assumed.get(workspace)
        if assumed is not None:
            rows.append(assumed.by_age(now))
        return sum_ages(rows)

    def _of(self, workspace: str) -> Spending:
        return self._spent.setdefault(workspace, Spending())

    def _assumed_of(
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> Spending:
        """Return what was spent before, where no entry lived to tell.

        It may all have been in the last moment of those who spent it, so it
        leaves the window as if it had been spent now.
        """
        assumed = self._assumed.get(workspace)
        if assumed is None:
            assumed = Spending()
            self._assumed[workspace] = assumed
            by_age = self.recorded.get(workspace)
            if by_age is None:
                assumed.add(limit.total * UNRECORDED_PART, now)
            else:
                assumed.recall(by_age, now)
        return assumed
