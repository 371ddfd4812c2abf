"""Estimate at a new home what happened under the home before.

Entries that live tell what they spent and hold. What the dead spent is the
difference to the last level that anybody heard; what silent ones hold is
their part of it.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.fleet import ENTRY_RETENTION_SECONDS
from spanfall_core.gateway.known.limits import Limit
from spanfall_core.gateway.known.spending import Units
from spanfall_core.gateway.known.unit_reports import EntrySpending


@dataclass(slots=True)
class TakenOver:
    """Hold what a new home hears of the time of the home before."""

    began_at: float
    #: Entries that shared the limits under the home before; 0: nobody knows.
    entries: int = 0
    #: What was left of each limit, by the lowest level that an entry heard.
    levels: Units = field(default_factory=dict)
    #: Spending of the entries heard that those levels know of.
    counted: Units = field(default_factory=dict)

    def learn(self, report: EntrySpending) -> None:
        """Take the first report of an entry."""
        self.entries = max(self.entries, report.entries)
        for workspace, level in report.levels.items():
            known = self.levels.get(workspace, level)
            self.levels[workspace] = min(known, level)
        net = report.net
        for workspace, by_age in report.recent.items():
            returned = sum(report.returned.get(workspace, ()))
            new = net.get(workspace, 0) - report.counted.get(workspace, 0)
            counted = max(0, sum(by_age) - returned - new)
            known = self.counted.get(workspace, 0)
            self.counted[workspace] = known + counted

    def unknown(
        self,
        workspace: str,
        limit: Limit,
        heard: int,
        now: float,
    ) -> float:
        """Return the units that entries not heard may have spent or hold.

        Until a window has passed, what the dead spent counts. Those that are
        missing may be alive and hold their equal parts.
        """
        passed = now - self.began_at
        if not self.entries or passed > ENTRY_RETENTION_SECONDS:
            return 0
        part = max(0, self.entries - heard) / self.entries
        if passed >= limit.window:
            return limit.total * part
        level = self.levels.get(workspace, limit.total)
        spent = limit.total - level - self.counted.get(workspace, 0)
        return max(0, spent) + max(0, level) * part
