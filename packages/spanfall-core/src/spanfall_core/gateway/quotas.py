"""Share the limits of workspaces over all entries.

Each entry keeps a bucket of every workspace. While a home answers, the entry
subtracts what the others spent; alone, it refills at its share of the rate,
so that all entries alone together stay inside the limit.
"""

from dataclasses import dataclass, field

#: Part of a full bucket that a new process starts with: after a restart of
#: the whole fleet the buckets may have been empty.
FIRST_FILL = 0.7
#: How many times its equal part of what is left an entry may spend before
#: it hears of the others again: callers are spread unevenly.
UNEVENNESS = 2.5


@dataclass(slots=True)
class Bucket:
    """Hold what a workspace may still spend here; units as configured."""

    level: float
    refilled_at: float
    #: Units spent here since the process started.
    spent: float = 0
    #: Units spent by others as far as subtracted from the level.
    others_spent: float | None = None
    #: Units that may still be spent here until the others are heard again.
    allowance: float = 0


@dataclass(slots=True)
class Quotas:
    """Hold the buckets of all workspaces at one entry."""

    buckets: dict[str, Bucket] = field(default_factory=dict)
    #: Entries that share each limit; 1 while a home reports their spending.
    divisor: float = 1
    #: Entries that may spend at the same time before they hear of another.
    entries: int = 1

    def try_spend(
        self,
        workspace: str,
        rate: float,
        burst: float,
        units: float,
        now: float,
    ) -> bool:
        """Spend units of a workspace unless its bucket is empty.

        A bucket that is not empty pays for a request of any size and may go
        below zero, so that large requests get their turn as small ones do.
        """
        if not rate:
            return True
        bucket = self._refilled(workspace, rate, burst, now)
        if bucket.level <= 0 or bucket.allowance <= 0:
            return False
        bucket.level -= units
        bucket.allowance -= units
        bucket.spent += units
        return True

    def give_back(self, workspace: str, units: float) -> None:
        """Return units of a request that no upstream ran."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            bucket.level += units
            bucket.allowance += units
            bucket.spent -= units

    def spent(self) -> dict[str, float]:
        """Return the units spent here, by workspace, since the start."""
        return {name: row.spent for name, row in self.buckets.items()}

    def learn_others(self, totals: dict[str, float]) -> None:
        """Subtract what other entries spent since the last report."""
        for name, total in totals.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                continue
            if bucket.others_spent is not None:
                bucket.level -= max(0, total - bucket.others_spent)
            bucket.others_spent = total
        for row in self.buckets.values():
            row.allowance = self._allowance(row.level)

    def forget_others(self) -> None:
        """Start a new count of the others, after a change of the home."""
        for bucket in self.buckets.values():
            bucket.others_spent = None

    def _allowance(self, level: float) -> float:
        return level * UNEVENNESS / max(1, self.entries)

    def _refilled(
        self,
        workspace: str,
        rate: float,
        burst: float,
        now: float,
    ) -> Bucket:
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = Bucket(burst * FIRST_FILL, now)
            bucket.allowance = self._allowance(bucket.level)
            self.buckets[workspace] = bucket
        passed = now - bucket.refilled_at
        bucket.refilled_at = now
        added = passed * rate / self.divisor
        bucket.allowance += added
        refilled = bucket.level + added
        bucket.level = min(burst, refilled)
        return bucket
