"""Sum up at the home what all entries spent of the limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    ByAge,
    Pieces,
    Spending,
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
UNREPORTED_SECONDS = 0.6
#: Seconds over which that rate is measured, the fastest of them counts: a short
#: time sees pressure begin, a long one holds while reports are late.
RATE_WINDOW_SECONDS = (0.3, 1.0)


@dataclass(slots=True)
class PredecessorSpending:
    """Hold what may have been spent before a home whom no entry tells.

    What the record does not know of may all have been in the last moment, so
    it leaves the window as if it had been spent as this home began.
    """

    #: What the record says, by its ages.
    recorded: Spending = field(default_factory=Spending)
    #: What is taken as spent whatever the record says.
    minimum: Spending = field(default_factory=Spending)

    def larger(self, limit: Limit, now: float) -> Spending:
        """Return which of both is more in the window that ends now."""
        recorded = self.recorded.recent(limit.window, now)
        minimum = self.minimum.recent(limit.window, now)
        return self.recorded if recorded > minimum else self.minimum


@dataclass(slots=True)
class FleetSpending:
    """Hold what was spent in the last window, by workspace."""

    #: What the home before recorded, by workspace and age in seconds.
    recorded: Mapping[str, ByAge] = field(default_factory=dict)
    #: Whether no entry could tell of the time before this home.
    is_history_assumed: bool = True
    _spent: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    _predecessors: dict[str, PredecessorSpending] = field(default_factory=dict)

    def assume_history(self, limits: Limits, now: float) -> None:
        """Take the time before this home as it may have been."""
        for workspace, limit in limits.items():
            self._predecessor_of(workspace, limit, now)

    def add(self, workspace: str, units: float, now: float) -> None:
        """Add units that an entry spent."""
        self._spending_of(workspace).add(units, now)

    def recall(self, workspace: str, by_age: ByAge, now: float) -> None:
        """Add what an entry spent before it was heard."""
        self._spending_of(workspace).recall(by_age, now)

    def count_returned(self, rows: Mapping[str, Pieces], sign: int) -> None:
        """Count units that came back, or with a sign of -1 no longer."""
        for workspace, pieces in rows.items():
            total = self._returned.setdefault(workspace, Spending())
            for at, units in pieces:
                total.add(sign * units, at)

    def recent(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what was spent in the window that ends now."""
        spent = self._known_spending(workspace, limit, now)
        if not self.is_history_assumed:
            return spent
        predecessor = self._predecessor_of(workspace, limit, now)
        return spent + predecessor.larger(limit, now).spent

    def spending_to_record(
        self, limits: Limits, now: float
    ) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that use much."""
        return {
            workspace: self._by_age(workspace, limit, now)
            for workspace, limit in limits.items()
            if self._needs_record(workspace, limit, now)
        }

    def _needs_record(self, workspace: str, limit: Limit, now: float) -> bool:
        """Tell whether what is known to be spent is worth a record."""
        spent = self._known_spending(workspace, limit, now)
        if self.is_history_assumed:
            predecessor = self._predecessor_of(workspace, limit, now)
            spent += predecessor.recorded.recent(limit.window, now)
        return spent > limit.total * RECORDED_PART

    def _known_spending(
        self, workspace: str, limit: Limit, now: float
    ) -> float:
        spent = self._spending_of(workspace).recent(limit.window, now)
        returned = self._returned.get(workspace)
        if returned is None:
            return spent
        return spent - returned.recent(limit.window, now)

    def _by_age(self, workspace: str, limit: Limit, now: float) -> ByAge:
        rows = [self._spending_of(workspace).by_age(now)]
        rows.append([self._unreported_spending(workspace, limit, now)])
        if self.is_history_assumed:
            predecessor = self._predecessor_of(workspace, limit, now)
            rows.append(predecessor.larger(limit, now).by_age(now))
        return sum_ages(rows)

    def _unreported_spending(
        self, workspace: str, limit: Limit, now: float
    ) -> float:
        """Return what is spent until a home without this record follows."""
        spent = self._spending_of(workspace)
        rate = max(spent.rate(seconds, now) for seconds in RATE_WINDOW_SECONDS)
        left = limit.total - self.recent(workspace, limit, now)
        return max(0, min(rate * UNREPORTED_SECONDS, left))

    def _spending_of(self, workspace: str) -> Spending:
        return self._spent.setdefault(workspace, Spending())

    def _predecessor_of(
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> PredecessorSpending:
        predecessor = self._predecessors.get(workspace)
        if predecessor is None:
            predecessor = PredecessorSpending()
            predecessor.recorded.recall(self.recorded.get(workspace, ()), now)
            predecessor.minimum.add(limit.total * ASSUMED_PART, now)
            self._predecessors[workspace] = predecessor
        return predecessor
