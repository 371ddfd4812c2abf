"""Share the limits of workspaces over all entries.

The home keeps one bucket of each workspace and gives out its level. An entry
spends from the level it heard last, but only a part of it before it hears
again. An entry that hears nobody keeps its own part of the bucket, so that
all entries alone together stay inside the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

#: Part of a full bucket that a new home starts with where no entry knows a
#: level: after a restart of the whole fleet the bucket may have been empty.
HOME_FILL = 0.25
#: Part of its own share of a bucket that an entry alone starts with.
ALONE_FILL = 0.15
#: How many times its equal part of what is left an entry may spend before
#: it hears of the others again: callers are spread unevenly.
UNEVENNESS = 2.5

Units = dict[str, float]


@dataclass(frozen=True, slots=True)
class Limit:
    """State the limit of a workspace, in units a second and at once."""

    rate: float
    burst: float


@dataclass(slots=True)
class Bucket:
    """Hold what a workspace may still spend."""

    level: float
    refilled_at: float
    #: Units that may still be spent here until the home is heard again.
    allowance: float = 0

    def refill(self, rate: float, most: float, now: float) -> None:
        """Add what the passed time allows."""
        added = max(0, now - self.refilled_at) * rate
        self.refilled_at = now
        self.allowance += added
        self.level = min(most, self.level + added)


@dataclass(slots=True)
class Quotas:
    """Hold the buckets of all workspaces at one entry."""

    #: Entries that share each limit, as far as known.
    entries: int = 1
    #: Whether a home gives out the levels.
    shared: bool = False
    buckets: dict[str, Bucket] = field(default_factory=dict)
    #: Units spent here since the process started, by workspace.
    spent: Units = field(default_factory=dict)

    def try_spend(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> bool:
        """Spend units of a workspace unless its bucket is empty.

        A bucket that is not empty pays for a request of any size and may go
        below zero, so that large requests get their turn as small ones do.
        """
        bucket = self._refilled(workspace, limit, now)
        if bucket.level <= 0 or self.shared and bucket.allowance <= 0:
            return False
        self._spend(workspace, bucket, units)
        return True

    def give_back(self, workspace: str, units: float) -> None:
        """Return units of a request that no upstream ran."""
        bucket = self.buckets.get(workspace)
        if bucket is not None:
            self._spend(workspace, bucket, -units)

    def learn_levels(self, levels: Units, reported: Units, now: float) -> None:
        """Follow the home's levels.

        ``reported`` is what this entry had spent when it last reported; the
        home does not know yet what it has spent since.
        """
        self.shared = True
        for workspace, level in levels.items():
            spent = self.spent.get(workspace, 0)
            since = spent - reported.get(workspace, 0)
            left = level - since
            part = min(1.0, UNEVENNESS / max(1, self.entries))
            self.buckets[workspace] = Bucket(left, now, left * part)

    def levels(self) -> Units:
        """Return the levels that were heard, for a new home."""
        if not self.shared:
            return {}
        return {name: row.level for name, row in self.buckets.items()}

    def go_alone(self) -> None:
        """Keep this entry's own part of what is left."""
        if self.shared:
            for bucket in self.buckets.values():
                bucket.level /= max(1, self.entries)
        self.shared = False

    def _spend(self, workspace: str, bucket: Bucket, units: float) -> None:
        bucket.level -= units
        bucket.allowance -= units
        self.spent[workspace] = self.spent.get(workspace, 0) + units

    def _refilled(self, workspace: str, limit: Limit, now: float) -> Bucket:
        divisor = 1 if self.shared else max(1, self.entries)
        most = limit.burst / divisor
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = Bucket(most * ALONE_FILL, now)
            bucket.allowance = bucket.level
            self.buckets[workspace] = bucket
        bucket.refill(limit.rate / divisor, most, now)
        return bucket


@dataclass(slots=True)
class SharedLevels:
    """Hold the bucket of each workspace at the home."""

    _buckets: dict[str, Bucket] = field(default_factory=dict)
    _spent: dict[str, Units] = field(default_factory=dict)

    def learn(
        self,
        entry: str,
        spent: Units,
        levels: Units,
        limits: Mapping[str, Limit],
        now: float,
    ) -> None:
        """Subtract what an entry spent since its last report.

        The first report of an entry shows where it stands; its levels, heard
        from an earlier home, set the buckets that are not known here yet.
        """
        known = self._spent.get(entry)
        for workspace, limit in limits.items():
            bucket = self._bucket(workspace, limit, levels, now)
            bucket.refill(limit.rate, limit.burst, now)
            if known is not None:
                total = spent.get(workspace, 0)
                bucket.level -= total - known.get(workspace, 0)
        self._spent[entry] = dict(spent)

    def levels(self, limits: Mapping[str, Limit], now: float) -> Units:
        """Return what each workspace may still spend."""
        return {
            workspace: self._level(workspace, limit, now)
            for workspace, limit in limits.items()
        }

    def _level(self, workspace: str, limit: Limit, now: float) -> float:
        bucket = self._bucket(workspace, limit, {}, now)
        bucket.refill(limit.rate, limit.burst, now)
        return bucket.level

    def _bucket(
        self,
        workspace: str,
        limit: Limit,
        levels: Units,
        now: float,
    ) -> Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            level = levels.get(workspace, limit.burst * HOME_FILL)
            bucket = Bucket(level, now)
            self._buckets[workspace] = bucket
        return bucket
