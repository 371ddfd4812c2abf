"""Sum up at the home what all entries have spent of the limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    ByAge,
    Spending,
    TimedUnits,
    sum_ages,
)

#: Part of a limit above which the spending of a workspace is recorded in the
#: store. It is below the usual load, so that the usual spending is known after
#: a restart of all nodes.
RECORDED_PART = 0.25
#: Minimum part of a limit that a new home counts as spent for a whole window
#: if no entry reports the time before it: the record may be outdated because
#: the store was unavailable. In the simulation of 8 nodes, 0.5 refuses 0.037
#: of the usual requests after a restart of all nodes and this value 0.012;
#: 0.35 exceeds a limit in 1 of 60 event sequences.
ASSUMED_PART = 0.42
#: Seconds for which the record extrapolates spending at the latest rate. The
#: reported spending is late by one report, the record by one check and one
#: write, and both take longer on busy hosts.
UNREPORTED_SECONDS = 0.6
#: Seconds over which that rate is measured; the highest rate counts. The short
#: window detects a rise in demand, the long one bridges late reports.
RATE_WINDOW_SECONDS = (0.3, 1.0)


@dataclass(slots=True)
class PredecessorSpending:
    """Estimate the spending before a home to which no entry reports it.

    Spending that the record lacks may have occurred at the last moment, so it
    leaves the window as if it had been spent when this home started.
    """

    #: Spending in the stored record, by its ages.
    recorded: Spending = field(default_factory=Spending)
    #: Spending assumed regardless of the record.
    minimum: Spending = field(default_factory=Spending)

    def larger(self, limit: Limit, now: float) -> Spending:
        """Return the estimate that is larger in the window that ends now."""
        recorded = self.recorded.recent(limit.window, now)
        minimum = self.minimum.recent(limit.window, now)
        return self.recorded if recorded > minimum else self.minimum


@dataclass(slots=True)
class FleetSpending:
    """Track the spending of the last window, by workspace."""

    #: Record of the previous home, by workspace and age in seconds.
    recorded: Mapping[str, ByAge] = field(default_factory=dict)
    #: Whether no entry has reported the time before this home.
    is_history_assumed: bool = True
    _spent: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    _predecessors: dict[str, PredecessorSpending] = field(default_factory=dict)

    def assume_history(self, limits: Limits, now: float) -> None:
        """Assume the spending before this home for each limit."""
        for workspace, limit in limits.items():
            self._predecessor_of(workspace, limit, now)

    def add(self, workspace: str, units: float, now: float) -> None:
        """Add units that an entry reports as spent."""
        self._spending_of(workspace).add(units, now)

    def recall(self, workspace: str, by_age: ByAge, now: float) -> None:
        """Add what an entry spent before its first report."""
        self._spending_of(workspace).recall(by_age, now)

    def count_returned(self, rows: Mapping[str, TimedUnits], sign: int) -> None:
        """Add returned units, or subtract them if the sign is -1."""
        for workspace, pieces in rows.items():
            total = self._returned.setdefault(workspace, Spending())
            for at, units in pieces:
                total.add(sign * units, at)

    def recent(self, workspace: str, limit: Limit, now: float) -> float:
        """Return the units spent in the window that ends now."""
        spent = self._known_spending(workspace, limit, now)
        if not self.is_history_assumed:
            return spent
        predecessor = self._predecessor_of(workspace, limit, now)
        return spent + predecessor.larger(limit, now).spent

    def spending_to_record(
        self,
        limits: Limits,
        now: float,
    ) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that need a record."""
        return {
            workspace: self._by_age(workspace, limit, now)
            for workspace, limit in limits.items()
            if self._needs_record(workspace, limit, now)
        }

    def _needs_record(self, workspace: str, limit: Limit, now: float) -> bool:
        """Tell whether the known spending is large enough to be recorded."""
        spent = self._known_spending(workspace, limit, now)
        if self.is_history_assumed:
            predecessor = self._predecessor_of(workspace, limit, now)
            spent += predecessor.recorded.recent(limit.window, now)
        return spent > limit.total * RECORDED_PART

    def _known_spending(
        self,
        workspace: str,
        limit: Limit,
        now: float,
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
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> float:
        """Estimate the spending that reports and records do not cover yet."""
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
