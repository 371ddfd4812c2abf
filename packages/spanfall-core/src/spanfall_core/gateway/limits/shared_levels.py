"""Keep the pool of each limit at the home, and give parts of it out.

The pool is the limit, less what entries spent in the last window, less what
they may hold. What entries hold that are silent stays with them: they may be
cut off and serve callers. A part of that is covered by what the platform
tolerates beyond a limit, so a lost entry costs the others nothing.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from spanfall_core.gateway.known.fleet import ENTRY_RETENTION_SECONDS
from spanfall_core.gateway.known.limits import Limit, Limits, Tolerance
from spanfall_core.gateway.known.reporting import SILENT_SECONDS
from spanfall_core.gateway.known.spending import ByAge, Spending, Units
from spanfall_core.gateway.known.unit_reports import (
    AllocatedUnits,
    EntrySpending,
)
from spanfall_core.gateway.limits.entry_account import EntryAccount
from spanfall_core.gateway.limits.fleet_spending import FleetSpending
from spanfall_core.gateway.limits.taken_over import TakenOver

#: Part of what the platform tolerates beyond a limit that covers what silent
#: entries hold, and what any entry may spend beyond its units once it is alone.
COVERED_PART = 0.5
#: Part of it by which the pool may fall below nothing for a request that is
#: larger than what is left, so that large requests get their turn as small
#: ones do. What remains is for the first units of restarted entries.
BORROWED_PART = 0.35
#: Seconds between two looks for entries that fell silent.
LOOK_SECONDS = 0.1
#: Entries from which on a home that hears none of the others takes itself for
#: cut off: it gives nothing more, not even to itself.
SEVERAL_ENTRIES = 4


@dataclass(slots=True)
class LimitUse:
    """State where the units of one limit are."""

    total: float
    spent: float
    #: What entries that are heard may hold, and may spend beyond it alone.
    held: float
    beyond: float
    #: What those may still spend that are not heard.
    hidden: float
    #: What the tolerance covers of the last two.
    covered: float

    @property
    def pool(self) -> float:
        """Return the units that nobody spent or may hold."""
        uncovered = max(0, self.hidden + self.beyond - self.covered)
        return self.total - self.spent - self.held - uncovered

    @property
    def level(self) -> float:
        """Return what is left, in the pool or held by entries heard."""
        return self.total - self.spent - self.hidden

    def free_cover(self, live: int) -> float:
        """Return what one more entry may spend beyond what it holds, alone."""
        free = self.covered - self.hidden
        return max(0, min(free / live, free - self.beyond))


def _sums() -> defaultdict[str, float]:
    return defaultdict(float)


@dataclass(slots=True)
class SharedLevels:
    """Hold at the home what entries spent and hold."""

    tolerance: Tolerance = field(default_factory=Tolerance)
    spending: FleetSpending = field(default_factory=FleetSpending)
    _entries: dict[str, EntryAccount] = field(default_factory=dict)
    #: Sums over the entries that are heard, and the others.
    _held: defaultdict[str, float] = field(default_factory=_sums)
    _beyond: defaultdict[str, float] = field(default_factory=_sums)
    _silent: dict[str, EntryAccount] = field(default_factory=dict)
    _looked_at: float = float('-inf')
    _taken: TakenOver | None = None

    def learn(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
        silent_after: float = SILENT_SECONDS,
    ) -> None:
        """Add what an entry spent since its last report.

        ``silent_after`` are the seconds after which it is silent unless it
        reports again.
        """
        account = self._entries.get(entry)
        if account is None:
            account = self._meet(entry, report, limits, now)
        else:
            self._hear_again(entry, report, limits, now)
        account.silent_at = now + silent_after
        self._count_held(account, 1)
        self.spending.count_returned(account.returned, -1)
        account.learn_returned(report, now)
        self.spending.count_returned(account.returned, 1)

    def knows(self, entry: str) -> bool:
        """Tell whether an entry was heard in this time as the home."""
        return entry in self._entries

    def give(
        self,
        entry: str,
        limits: Limits,
        now: float,
    ) -> AllocatedUnits | None:
        """Return what an entry may spend until it is given more.

        It is an equal part of what the pool and the entry hold: half of what
        is left stays in the pool, for entries that ask for more. None: this
        home may be cut off, so it gives nothing.
        """
        live = self._live(limits, now)
        if not live:
            return None
        account = self._entries[entry]
        self._count_held(account, -1)
        levels: Units = {}
        for workspace, limit in limits.items():
            use = self.use(workspace, limit, now)
            part = max(0, use.pool) / (live + 1)
            account.hold(workspace, part, use.free_cover(live))
            levels[workspace] = use.level
        self._count_held(account, 1)
        return AllocatedUnits(
            dict(account.given),
            dict(account.given_beyond),
            levels,
        )

    def lend(
        self,
        entry: str,
        workspace: str,
        units: float,
        limits: Limits,
        now: float,
    ) -> float:
        """Give an entry the units that a request of its lacks, or none.

        Where the pool has plenty, it gets its part of the rest besides, so
        that small requests do not ask one by one.
        """
        limit = limits.get(workspace)
        account = self._entries.get(entry)
        live = self._live(limits, now)
        if limit is None or account is None or not live:
            return 0
        pool = self.use(workspace, limit, now).pool
        borrowed = self.tolerance.extra_units(limit) * BORROWED_PART
        if pool <= 0 or pool - units < -borrowed:
            return 0
        lent = units + max(0, pool - units) / (live + 1)
        account.lend(workspace, lent)
        if entry not in self._silent:
            self._held[workspace] += lent
        return lent

    def use(self, workspace: str, limit: Limit, now: float) -> LimitUse:
        """Return where the units of one limit are."""
        return LimitUse(
            limit.total,
            self.spending.recent(workspace, limit, now),
            self._held[workspace],
            self._beyond[workspace],
            self._hidden(workspace, limit, now),
            self.tolerance.extra_units(limit) * COVERED_PART,
        )

    def pressed(self, limits: Limits, now: float) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that use much."""
        return self.spending.pressed(limits, now)

    def _meet(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
    ) -> EntryAccount:
        """Hear an entry for the first time in this time as the home."""
        node = entry.partition('/')[0]
        self._forget_dead(node, now)
        if self._taken is None:
            self._taken = TakenOver(now)
            self.spending.begin(limits, now)
        self._taken.learn(report)
        self.spending.is_assumed = not self._taken.entries
        account = EntryAccount(node, now, now, report, dict(report.held))
        self._entries[entry] = account
        for workspace, by_age in report.recent.items():
            self.spending.recall(workspace, by_age, now)
            account.own[workspace] = Spending()
            account.own[workspace].recall(by_age, now)
        return account

    def _hear_again(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
    ) -> None:
        """Take the next report of an entry, whether it was silent or not."""
        account = self._entries[entry]
        if self._silent.pop(entry, None) is None:
            self._count_held(account, -1)
        account.silent_recent = None
        account.heard_at = now
        for workspace, units in account.learn(report).items():
            limit = limits.get(workspace)
            if limit is not None:
                self.spending.add(workspace, units, now)
                own = account.own.setdefault(workspace, Spending())
                own.spend(units, limit.window, now)

    def _forget_dead(self, node: str, now: float) -> None:
        """Take back what an earlier incarnation of a node holds."""
        dead = [
            key
            for key, account in self._entries.items()
            if account.node == node
            or now - account.heard_at > ENTRY_RETENTION_SECONDS
        ]
        for key in dead:
            account = self._entries.pop(key)
            if self._silent.pop(key, None) is None:
                self._count_held(account, -1)

    def _live(self, limits: Limits, now: float) -> int:
        """Return the entries that are heard; 0: this home may be cut off."""
        if now - self._looked_at >= LOOK_SECONDS:
            self._looked_at = now
            self._find_silent(limits, now)
        live = len(self._entries) - len(self._silent)
        if live < 2 and len(self._entries) >= SEVERAL_ENTRIES:
            return 0
        return live

    def _find_silent(self, limits: Limits, now: float) -> None:
        for key, account in self._entries.items():
            is_silent = now > account.silent_at
            if is_silent and key not in self._silent:
                self._silent[key] = account
                self._count_held(account, -1)
                account.fall_silent(limits, now)

    def _count_held(self, account: EntryAccount, sign: int) -> None:
        for workspace, units in account.held.items():
            self._held[workspace] += sign * units
        for name, beyond in account.beyond.items():
            self._beyond[name] += sign * beyond

    def _hidden(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what those may still spend that are not heard."""
        hidden = sum(
            account.hidden(workspace, limit, now)
            for account in self._silent.values()
        )
        if self._taken is not None:
            known = len(self._entries)
            hidden += self._taken.unknown(workspace, limit, known, now)
        return hidden
