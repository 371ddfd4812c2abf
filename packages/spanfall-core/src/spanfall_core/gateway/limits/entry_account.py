"""Hold at the home what one entry spent and may hold of the limits."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    SLOT_SECONDS,
    Pieces,
    Spending,
    Units,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending

#: Seconds by which units that came back may be younger than their age says:
#: ages are whole seconds of slots. Taken as older, they never cancel more
#: than their spending, which the home heard of later.
AGE_ERROR_SECONDS = 1 + 2 * SLOT_SECONDS


@dataclass(slots=True)
class EntryAccount:
    """Hold what one incarnation of an entry spent and may hold."""

    node: str
    last_report_at: float
    #: When it is silent unless it reports before.
    report_deadline: float
    #: What it told last.
    last_report: EntrySpending = field(default_factory=EntrySpending)
    #: The most that it may hold, and spend besides without a home: until its
    #: next report nobody knows whether what it was given last has arrived.
    held: Units = field(default_factory=dict)
    beyond: Units = field(default_factory=dict)
    #: What it was given last, which its next report shows to have arrived.
    given: Units = field(default_factory=dict)
    given_beyond: Units = field(default_factory=dict)
    own_spending: dict[str, Spending] = field(default_factory=dict)
    #: What came back to it, as told last: time of the spending and units.
    returned: dict[str, Pieces] = field(default_factory=dict)
    #: Its spending in the window when it fell silent; None: it is heard.
    recent_at_silence: Units | None = None

    def record_allocation(
        self, workspace: str, units: float, beyond: float
    ) -> None:
        """Note what it is given with a table that may not arrive."""
        self.given[workspace] = units
        self.given_beyond[workspace] = beyond
        self.held[workspace] = max(self.held.get(workspace, 0), units)
        known = self.beyond.get(workspace, 0)
        self.beyond[workspace] = max(known, beyond)

    def add_lent(self, workspace: str, units: float) -> None:
        """Note units that it is given besides."""
        self.held[workspace] = self.held.get(workspace, 0) + units
        given = self.given.get(workspace)
        if given is not None:
            self.given[workspace] = given + units

    def apply_report(self, report: EntrySpending) -> Units:
        """Take its next report; return what it spent since the last.

        The report tells that the last table has arrived, but for that of an
        entry that lost the home in between, which says what it holds.
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
        """Take over what it says came back in the last window."""
        self.returned = {
            workspace: [
                (now - seconds - AGE_ERROR_SECONDS, units)
                for seconds, units in enumerate(by_age)
            ]
            for workspace, by_age in report.returned.items()
        }

    def silent_units(self, workspace: str, limit: Limit, now: float) -> float:
        """Return the units that a silent entry may still spend.

        It also gets back what it spent, as that leaves the window.
        """
        held = self.held.get(workspace, 0) + self.beyond.get(workspace, 0)
        own_spending = self.own_spending.get(workspace)
        if own_spending is None or self.recent_at_silence is None:
            return held
        before = self.recent_at_silence.get(workspace, 0)
        return held + before - own_spending.recent(limit.window, now)

    def mark_silent(self, limits: Limits, now: float) -> None:
        """Note that it is not heard any more."""
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
