"""Track at the home what one entry has spent and may hold of the limits."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    BUCKET_SECONDS,
    Spending,
    TimedUnits,
    Units,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending

#: Seconds by which returned units may be younger than their reported age,
#: which is a whole number of seconds computed from time buckets. Dating them
#: back by this much keeps them from cancelling more than their spending, which
#: was reported to the home later.
AGE_ERROR_SECONDS = 1 + 2 * BUCKET_SECONDS


@dataclass(slots=True)
class EntryAccount:
    """Track what one incarnation of an entry has spent and may hold."""

    node: str
    last_report_at: float
    #: Time from which the entry counts as silent unless it reports before.
    report_deadline: float
    last_report: EntrySpending = field(default_factory=EntrySpending)
    #: Upper bounds of the units that the entry holds, and of those it may spend
    #: in addition without a home. Whether the last allocation has arrived is
    #: unknown until the next report.
    held: Units = field(default_factory=dict)
    beyond: Units = field(default_factory=dict)
    #: The last allocation, which the next report confirms.
    given: Units = field(default_factory=dict)
    given_beyond: Units = field(default_factory=dict)
    own_spending: dict[str, Spending] = field(default_factory=dict)
    #: Units returned to the entry, as last reported, by time of spending.
    returned: dict[str, TimedUnits] = field(default_factory=dict)
    #: Spending in the window when the entry became silent; None: not silent.
    recent_at_silence: Units | None = None

    def record_allocation(
        self,
        workspace: str,
        units: float,
        beyond: float,
    ) -> None:
        """Record an allocation sent with a table that may not arrive."""
        self.given[workspace] = units
        self.given_beyond[workspace] = beyond
        self.held[workspace] = max(self.held.get(workspace, 0), units)
        known = self.beyond.get(workspace, 0)
        self.beyond[workspace] = max(known, beyond)

    def add_lent(self, workspace: str, units: float) -> None:
        """Record units granted on request, in addition to the allocation."""
        self.held[workspace] = self.held.get(workspace, 0) + units
        given = self.given.get(workspace)
        if given is not None:
            self.given[workspace] = given + units

    def apply_report(self, report: EntrySpending) -> Units:
        """Apply the next report; return the units spent since the last one.

        The report confirms that the last table has arrived, unless the entry
        lost the home in between: then the report states what it holds.
        """
        if report.entries:
            self.held = dict(report.held)
            self.beyond = {}
        else:
            self.held.update(self.given)
            self.beyond.update(self.given_beyond)
            self._update_held(report)
        self.given = {}
        self.given_beyond = {}
        previous = self.last_report.spent
        self.last_report = report
        return {
            workspace: units - previous.get(workspace, 0)
            for workspace, units in report.spent.items()
            if units != previous.get(workspace, 0)
        }

    def apply_returned(self, report: EntrySpending, now: float) -> None:
        """Replace the units that were returned in the last window."""
        self.returned = {
            workspace: [
                (now - seconds - AGE_ERROR_SECONDS, units)
                for seconds, units in enumerate(by_age)
            ]
            for workspace, by_age in report.returned.items()
        }

    def silent_units(self, workspace: str, limit: Limit, now: float) -> float:
        """Return the units that a silent entry may still spend.

        They include its earlier spending that has left the window since.
        """
        held = self.held.get(workspace, 0) + self.beyond.get(workspace, 0)
        own_spending = self.own_spending.get(workspace)
        if own_spending is None or self.recent_at_silence is None:
            return held
        before = self.recent_at_silence.get(workspace, 0)
        return held + before - own_spending.recent(limit.window, now)

    def mark_silent(self, limits: Limits, now: float) -> None:
        """Mark the entry as silent and save its spending in the window."""
        self.recent_at_silence = {
            workspace: own_spending.recent(limits[workspace].window, now)
            for workspace, own_spending in self.own_spending.items()
            if workspace in limits
        }

    def _update_held(self, report: EntrySpending) -> None:
        previous = self.last_report
        for workspace, units in report.spent.items():
            spent = units - previous.spent.get(workspace, 0)
            back = report.given_back.get(workspace, 0)
            back -= previous.given_back.get(workspace, 0)
            held = self.held.get(workspace, 0)
            self.held[workspace] = max(0, held - spent + back)
