"""Estimate at a new home what was spent and held under the previous home.

Live entries report what they spent and hold. The spending of dead entries is
estimated as the difference from the lowest level that any entry received;
silent entries are assumed to hold their share of that level.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.fleet import ENTRY_RETENTION_SECONDS
from spanfall_core.gateway.known.limits import Limit
from spanfall_core.gateway.known.spending import Units
from spanfall_core.gateway.known.unit_reports import EntrySpending


@dataclass(slots=True)
class PredecessorEstimate:
    """Collect what entries report of the previous home's tenure."""

    started_at: float
    #: Entries that shared the limits under the previous home; 0: unknown.
    entries: int = 0
    #: Units left of each limit: the lowest level that any entry received.
    levels: Units = field(default_factory=dict)
    #: Spending of the reporting entries that those levels include.
    counted: Units = field(default_factory=dict)

    def apply_report(self, report: EntrySpending) -> None:
        """Apply the first report of an entry."""
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
        reported: int,
        now: float,
    ) -> float:
        """Return the units that missing entries may have spent or hold.

        The spending of dead entries counts until one window has passed.
        Missing entries may be alive, so each counts as holding an equal share.
        """
        elapsed = now - self.started_at
        if not self.entries or elapsed > ENTRY_RETENTION_SECONDS:
            return 0
        part = max(0, self.entries - reported) / self.entries
        if elapsed >= limit.window:
            return limit.total * part
        level = self.levels.get(workspace, limit.total)
        spent = limit.total - level - self.counted.get(workspace, 0)
        return max(0, spent) + max(0, level) * part
