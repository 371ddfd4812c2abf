"""Keep the pool of each limit at the home and allocate units from it.

The pool is the limit, less the units that entries spent in the last window,
less those that they may hold. Silent entries keep their units, as they may be
cut off and still serve callers. A part of these units is covered by the
platform's tolerance beyond a limit, so a lost entry costs the others nothing.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf

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
from spanfall_core.gateway.limits.limit_usage import LimitUsage
from spanfall_core.gateway.limits.pacing import Pacing
from spanfall_core.gateway.limits.predecessor_estimate import (
    PredecessorEstimate,
)

#: Part of the platform's tolerance that covers the units of silent entries, and
#: those that entries may spend in addition without a home.
COVERED_PART = 0.5
#: Part of the tolerance by which a request may overdraw the pool if it is
#: larger than what is left, so that small requests do not starve large ones.
#: The rest of the tolerance is for the first units of restarted entries.
OVERDRAFT_PART = 0.35
#: Seconds between two checks for silent entries.
SILENCE_CHECK_SECONDS = 0.1
#: Number of entries from which on a home that receives no reports from the
#: others treats itself as cut off: it allocates nothing, not even to itself.
ISOLATION_MIN_ENTRIES = 4


def _sums() -> defaultdict[str, float]:
    return defaultdict(float)


@dataclass(slots=True)
class QuotaAllocator:
    """Track at the home what entries spend and hold, and allocate units."""

    tolerance: Tolerance = field(default_factory=Tolerance)
    spending: FleetSpending = field(default_factory=FleetSpending)
    #: Set where workspaces that press against their limits are paced.
    pacing: Pacing | None = None
    _entries: dict[str, EntryAccount] = field(default_factory=dict)
    #: Sums over live entries: units held, and allowed without a home.
    _held: defaultdict[str, float] = field(default_factory=_sums)
    _beyond: defaultdict[str, float] = field(default_factory=_sums)
    _silent: dict[str, EntryAccount] = field(default_factory=dict)
    _checked_at: float = float('-inf')
    _predecessor: PredecessorEstimate | None = None

    def apply_report(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
        silent_after: float = SILENT_SECONDS,
    ) -> None:
        """Add what an entry has spent since its last report.

        ``silent_after`` is the number of seconds after which the entry counts
        as silent unless it reports again.
        """
        account = self._entries.get(entry)
        if account is None:
            account = self._add_entry(entry, report, limits, now)
        else:
            self._update_entry(entry, report, limits, now)
        account.report_deadline = now + silent_after
        self._count_held(account, 1)
        self.spending.count_returned(account.returned, -1)
        account.apply_returned(report, now)
        self.spending.count_returned(account.returned, 1)

    def set_paced(self, *, is_paced: bool) -> None:
        """Start or stop pacing workspaces that press against their limits."""
        if is_paced != (self.pacing is not None):
            self.pacing = Pacing() if is_paced else None

    def has_reported(self, entry: str) -> bool:
        """Tell whether an entry has reported in this tenure as the home."""
        return entry in self._entries

    def allocate(
        self,
        entry: str,
        limits: Limits,
        now: float,
    ) -> AllocatedUnits | None:
        """Allocate what an entry may spend until its next allocation.

        It is an equal share of the units that the pool and the entry hold,
        sized so that half of what is left stays in the pool, for entries that
        request more. None: this home may be cut off, so it allocates nothing.
        """
        live = self._live_entries(limits, now)
        if not live:
            return None
        account = self._entries[entry]
        self._count_held(account, -1)
        levels: Units = {}
        for workspace, limit in limits.items():
            usage = self.usage(workspace, limit, now)
            part = max(0, usage.pool) / (live + 1)
            account.record_allocation(workspace, part, usage.free_beyond(live))
            levels[workspace] = usage.level
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
        """Grant an entry the units that one of its requests lacks, or 0.

        If the pool holds more than that, the entry also gets its share of the
        rest, so that small requests do not each need a message to the home.
        """
        limit = limits.get(workspace)
        account = self._entries.get(entry)
        live = self._live_entries(limits, now)
        if limit is None or account is None or not live:
            return 0
        pool = self.usage(workspace, limit, now).pool
        overdraft = self.tolerance.extra_units(limit) * OVERDRAFT_PART
        if pool <= 0 or pool - units < -overdraft:
            return 0
        lent = units + max(0, pool - units) / (live + 1)
        account.add_lent(workspace, lent)
        if entry not in self._silent:
            self._held[workspace] += lent
        return lent

    def usage(self, workspace: str, limit: Limit, now: float) -> LimitUsage:
        """Return how the units of one limit are distributed."""
        spent = self.spending.recent(workspace, limit, now)
        released = inf
        if self.pacing is not None:
            released = self.pacing.release(workspace, limit, spent, now)
        return LimitUsage(
            limit.total,
            spent,
            self._held[workspace],
            self._beyond[workspace],
            self._silent_units(workspace, limit, now),
            self.tolerance.extra_units(limit) * COVERED_PART,
            released,
        )

    def spending_to_record(
        self,
        limits: Limits,
        now: float,
    ) -> dict[str, ByAge]:
        """Return the spending, by age, of workspaces that need a record."""
        return self.spending.spending_to_record(limits, now)

    def _add_entry(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
    ) -> EntryAccount:
        """Add an entry at its first report in this tenure as the home."""
        node = entry.partition('/')[0]
        self._remove_dead(node, now)
        if self._predecessor is None:
            self._predecessor = PredecessorEstimate(now)
            self.spending.assume_history(limits, now)
        self._predecessor.apply_report(report)
        self.spending.is_history_assumed = not self._predecessor.entries
        account = EntryAccount(node, now, now, report, dict(report.held))
        self._entries[entry] = account
        for workspace, by_age in report.recent.items():
            self.spending.recall(workspace, by_age, now)
            account.own_spending[workspace] = Spending()
            account.own_spending[workspace].recall(by_age, now)
        return account

    def _update_entry(
        self,
        entry: str,
        report: EntrySpending,
        limits: Limits,
        now: float,
    ) -> None:
        """Apply the next report of an entry, whether it was silent or not."""
        account = self._entries[entry]
        if self._silent.pop(entry, None) is None:
            self._count_held(account, -1)
        account.recent_at_silence = None
        account.last_report_at = now
        for workspace, units in account.apply_report(report).items():
            limit = limits.get(workspace)
            if limit is not None:
                self.spending.add(workspace, units, now)
                if self.pacing is not None:
                    self.pacing.record_spent(workspace, limit, units, now)
                own_spending = account.own_spending.setdefault(
                    workspace,
                    Spending(),
                )
                own_spending.spend(units, limit.window, now)

    def _remove_dead(self, node: str, now: float) -> None:
        """Remove earlier incarnations of a node and entries long silent."""
        dead = [
            key
            for key, account in self._entries.items()
            if account.node == node
            or now - account.last_report_at > ENTRY_RETENTION_SECONDS
        ]
        for key in dead:
            account = self._entries.pop(key)
            if self._silent.pop(key, None) is None:
                self._count_held(account, -1)

    def _live_entries(self, limits: Limits, now: float) -> int:
        """Return the number of live entries; 0: this home may be cut off."""
        if now - self._checked_at >= SILENCE_CHECK_SECONDS:
            self._checked_at = now
            self._find_silent(limits, now)
        live = len(self._entries) - len(self._silent)
        if live < 2 and len(self._entries) >= ISOLATION_MIN_ENTRIES:
            return 0
        return live

    def _find_silent(self, limits: Limits, now: float) -> None:
        for key, account in self._entries.items():
            is_silent = now > account.report_deadline
            if is_silent and key not in self._silent:
                self._silent[key] = account
                self._count_held(account, -1)
                account.mark_silent(limits, now)

    def _count_held(self, account: EntryAccount, sign: int) -> None:
        for workspace, units in account.held.items():
            self._held[workspace] += sign * units
        for name, beyond in account.beyond.items():
            self._beyond[name] += sign * beyond

    def _silent_units(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what silent and missing entries may still spend."""
        silent_units = sum(
            account.silent_units(workspace, limit, now)
            for account in self._silent.values()
        )
        if self._predecessor is not None:
            known = len(self._entries)
            silent_units += self._predecessor.unknown(
                workspace,
                limit,
                known,
                now,
            )
        return silent_units
