"""Hold at the home what one entry spent and may hold of the limits."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import (
    BUCKET_SECONDS,
    Spending,
    TimedUnits,
    Units,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending

#: Seconds by which units that came back may be younger than their age says:
#: ages are whole seconds of slots. Taken as older, they never cancel more
#: than their spending, which the home heard of later.
AGE_ERROR = 1 + 2 * BUCKET_SECONDS


@dataclass(slots=True)
class EntryAccount:
    """Hold what one incarnation of an entry spent and may hold."""

    node: str
    heard_at: float
    #: When it is silent unless it reports before.
    silent_at: float
    #: What it told last.
    told: EntrySpending = field(default_factory=EntrySpending)
    #: The most that it may hold, and spend besides without a home: until its
    #: next report nobody knows whether what it was given last has arrived.
    held: Units = field(default_factory=dict)
    beyond: Units = field(default_factory=dict)
    #: What it was given last, which its next report shows to have arrived.
    given: Units = field(default_factory=dict)
    given_beyond: Units = field(default_factory=dict)
    own: dict[str, Spending] = field(default_factory=dict)
    #: What came back to it, as told last: time of the spending and units.
    returned: dict[str, TimedUnits] = field(default_factory=dict)
    #: Its spending in the window when it fell silent; None: it is heard.
    silent_recent: Units | None = None

    def hold(self, workspace: str, units: float, beyond: float) -> None:
        """Note what it is given with a table that may not arrive."""
        self.given[workspace] = units
        self.given_beyond[workspace] = beyond
        self.held[workspace] = max(self.held.get(workspace, 0), units)
        known = self.beyond.get(workspace, 0)
        self.beyond[workspace] = max(known, beyond)

    def lend(self, workspace: str, units: float) -> None:
        """Note units that it is given besides."""
        self.held[workspace] = self.held.get(workspace, 0) + units
        given = self.given.get(workspace)
        if given is not None:
            self.given[workspace] = given + units

    def learn(self, report: EntrySpending) -> Units:
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
            self._spend_held(report)
        self.given = {}
        self.given_beyond = {}
        told = self.told.spent
        self.told = report
        return {
            workspace: units - told.get(workspace, 0)
            for workspace, units in report.spent.items()
            if units != told.get(workspace, 0)
        }

    def learn_returned(self, report: EntrySpending, now: float) -> None:
        """Take over what it says came back in the last window."""
        self.returned = {
            workspace: [
                (now - seconds - AGE_ERROR, units)
                for seconds, units in enumerate(by_age)
            ]
            for workspace, by_age in report.returned.items()
        }

    def hidden(self, workspace: str, limit: Limit, now: float) -> float:
        """Return the units that a silent entry may still spend.

        It also gets back what it spent, as that leaves the window.
        """
        held = self.held.get(workspace, 0) + self.beyond.get(workspace, 0)
        own = self.own.get(workspace)
        if own is None or self.silent_recent is None:
            return held
        before = self.silent_recent.get(workspace, 0)
        return held + before - own.recent(limit.window, now)

    def fall_silent(self, limits: Limits, now: float) -> None:
        """Note that it is not heard any more."""
        self.silent_recent = {
            workspace: own.recent(limits[workspace].window, now)
            for workspace, own in self.own.items()
            if workspace in limits
        }

    def _spend_held(self, report: EntrySpending) -> None:
        told = self.told
        for workspace, units in report.spent.items():
            spent = units - told.spent.get(workspace, 0)
            back = report.given_back.get(workspace, 0)
            back -= told.given_back.get(workspace, 0)
            held = self.held.get(workspace, 0)
            self.held[workspace] = max(0, held - spent + back)
