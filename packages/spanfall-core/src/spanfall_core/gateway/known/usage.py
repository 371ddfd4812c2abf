"""Count the runs that start in each usage window, once in the fleet.

An entry counts a run in the window of the true time at which it starts. It
reports totals rather than differences, so that a duplicate report has no
effect; the home stores them by entry and incarnation.
"""

from collections import Counter
from dataclasses import dataclass, field

#: Number of past windows that an entry retains for a new home.
RETAINED_WINDOWS = 6

WindowCounts = dict[int, dict[str, int]]


@dataclass(slots=True)
class UsageCounts:
    """Count the runs that started at this entry, by window and workspace."""

    window_seconds: float
    windows: WindowCounts = field(default_factory=dict)

    def window_of(self, true_time: float) -> int:
        """Return the number of the window of a time in seconds since 1970."""
        return int(true_time // self.window_seconds)

    def count(self, workspace: str, true_time: float) -> None:
        """Count one run and drop old windows."""
        window = self.window_of(true_time)
        row = self.windows.get(window)
        if row is None:
            row = self.windows.setdefault(window, {})
            self._drop_old(window)
        row[workspace] = row.get(workspace, 0) + 1

    def _drop_old(self, newest: int) -> None:
        old = [key for key in self.windows if key < newest - RETAINED_WINDOWS]
        for key in old:
            self.windows.pop(key)


@dataclass(slots=True)
class FleetUsage:
    """Store the latest counts of each entry at the home."""

    by_entry: dict[str, WindowCounts] = field(default_factory=dict)

    def update(self, entry: str, windows: WindowCounts) -> None:
        """Store the counts of one incarnation of an entry."""
        self.by_entry.setdefault(entry, {}).update(windows)

    def total(self, window: int) -> dict[str, int]:
        """Return the runs of a window by workspace, over all entries."""
        counts: Counter[str] = Counter()
        for windows in self.by_entry.values():
            counts.update(windows.get(window, {}))
        return dict(counts)

    def drop_before(self, window: int) -> None:
        """Drop the counts of windows that have been reported."""
        self.by_entry = {
            entry: kept
            for entry, windows in self.by_entry.items()
            if (kept := _windows_from(windows, window))
        }


def _windows_from(windows: WindowCounts, first: int) -> WindowCounts:
    return {key: row for key, row in windows.items() if key >= first}
