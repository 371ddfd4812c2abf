"""Merge the reports of entries into the table that the home distributes."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.counting import add_counts, subtract_counts
from spanfall_core.gateway.known.engine_model import (
    PrefillModel,
    PrefillSpeed,
    PrefillSums,
)
from spanfall_core.gateway.known.fleet_retries import RetryCounts, sum_retries
from spanfall_core.gateway.known.lifetimes import ByLifetime, Lifetime
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending
from spanfall_core.gateway.known.usage import FleetUsage, WindowCounts

#: Minimum seconds between two searches for expired entries.
EXPIRY_CHECK_SECONDS = 0.05
#: Seconds without a report after which an entry is dropped and is assumed to
#: hold no units.
ENTRY_RETENTION_SECONDS = 60.0
#: Seconds for which a new home assumes the previous size of the fleet.
#: Otherwise its first entries would report at the rate of a small fleet, and
#: each would take the share of a small fleet in common limits.
ASSUMED_SIZE_SECONDS = 3.0

Counts = dict[str, int]


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Report what one entry has running and what it has spent."""

    node: str
    incarnation: str
    running: ByLifetime = field(default_factory=dict)
    prefill: ByLifetime = field(default_factory=dict)
    failed: ByLifetime = field(default_factory=dict)
    spending: EntrySpending = field(default_factory=EntrySpending)
    usage: WindowCounts = field(default_factory=dict)
    #: Prefill work by service since the process started, in tokens.
    read_work: Counts = field(default_factory=dict)
    #: Samples of prefill speed, by service.
    reading: dict[str, PrefillSums] = field(default_factory=dict)
    #: Requests and retries of the last window, by service with any retries.
    retries: dict[str, RetryCounts] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Return the key of the entry and its incarnation."""
        return f'{self.node}/{self.incarnation}'


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """Hold totals over the entries that reported to this home.

    Running requests are a current sum; failures are counted since the first
    report of each entry to this home.
    """

    running: ByLifetime = field(default_factory=dict)
    prefill: ByLifetime = field(default_factory=dict)
    failed: ByLifetime = field(default_factory=dict)


@dataclass(slots=True)
class ReportingEntry:
    """Store the first and the latest report of one incarnation."""

    first: EntryReport
    report: EntryReport
    reported_at: float
    #: When its load expires unless it reports before.
    expires_at: float
    is_live: bool = True

    @property
    def failed(self) -> ByLifetime:
        """Return the failures since its first report to this home."""
        return subtract_counts(self.report.failed, self.first.failed)


@dataclass(slots=True)
class FleetState:
    """Store what the entries reported to this home."""

    #: Prefill speeds that the previous home reported.
    prior_speeds: Mapping[str, PrefillSpeed] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    #: Size of the fleet before this home took over, and until when it is
    #: assumed.
    assumed_entries: int = 1
    assumed_until: float = float('-inf')
    _models: dict[str, PrefillModel] = field(default_factory=dict)
    _reporting: dict[str, ReportingEntry] = field(default_factory=dict)
    #: Sums over the live entries; failures are summed over all entries.
    _live_entries: int = 0
    _running: Counter[Lifetime] = field(default_factory=Counter)
    _prefill: Counter[Lifetime] = field(default_factory=Counter)
    _failed: Counter[Lifetime] = field(default_factory=Counter)
    _last_expiry: float = float('-inf')
    #: When an excess of retries was last noted, by service.
    _excess_noted_at: dict[str, float] = field(default_factory=dict)

    def apply_report(self, report: EntryReport, now: float) -> None:
        """Store the latest report of an entry."""
        known = self._reporting.get(report.key)
        if known is None:
            known = ReportingEntry(report, report, now, now)
            self._reporting[report.key] = known
        else:
            add_counts(self._failed, known.failed, -1)
            self._add_load(known, -1)
        known.report = report
        known.reported_at = now
        add_counts(self._failed, known.failed)
        known.is_live = True
        self._add_load(known, 1)
        known.expires_at = now + load_expires_after(self.period(now))
        self.usage.update(report.key, report.usage)
        for service, sums in report.reading.items():
            self._model(service).learn(report.key, sums, now)

    def size(self, now: float) -> int:
        """Return the known or assumed number of entries."""
        self._expire_entries(now)
        assumed = self.assumed_entries if now < self.assumed_until else 1
        return max(1, assumed, self._live_entries)

    def period(self, now: float) -> float:
        """Return the seconds after which an entry has to report again."""
        return report_period(self.size(now))

    def totals_except(self, key: str, now: float) -> FleetTotals:
        """Return the totals over all entries except one."""
        self._expire_entries(now)
        own = self._reporting.get(key)
        if own is None:
            return FleetTotals(
                dict(self._running),
                dict(self._prefill),
                dict(self._failed),
            )
        is_counted = own.is_live
        return FleetTotals(
            subtract_counts(
                self._running, own.report.running if is_counted else {}
            ),
            subtract_counts(
                self._prefill, own.report.prefill if is_counted else {}
            ),
            subtract_counts(self._failed, own.failed),
        )

    def running(self, now: float) -> ByLifetime:
        """Return the running requests by upstream."""
        self._expire_entries(now)
        return dict(self._running)

    def read_work(self) -> Counts:
        """Return the prefill work since the first report of each entry."""
        total: Counter[str] = Counter()
        for row in self._reporting.values():
            first = row.first.read_work
            add_counts(total, subtract_counts(row.report.read_work, first))
        return dict(total)

    def retries(self, window: float, now: float) -> dict[str, RetryCounts]:
        """Return the sums over the entries of one window, ended ones included.

        An entry that ended counts with its last report, which overstates what
        it sent in the window.
        """
        return sum_retries(
            row.report.retries
            for row in self._reporting.values()
            if now - row.reported_at <= window
        )

    def should_note_excess(
        self, service: str, window: float, now: float
    ) -> bool:
        """Return whether an excess was not noted in the last window."""
        noted_at = self._excess_noted_at.get(service, float('-inf'))
        if now - noted_at < window:
            return False
        self._excess_noted_at[service] = now
        return True

    def speeds(self) -> dict[str, PrefillSpeed]:
        """Return the prefill speed by service."""
        learned = {name: row.speed() for name, row in self._models.items()}
        return {**self.prior_speeds, **learned}

    def _model(self, service: str) -> PrefillModel:
        known = self._models.get(service)
        if known is None:
            prior = self.prior_speeds.get(service, PrefillSpeed())
            known = PrefillModel(prior)
            self._models[service] = known
        return known

    def _add_load(self, row: ReportingEntry, sign: int) -> None:
        """Add the load of a live entry to the totals, or subtract it."""
        if row.is_live:
            self._live_entries += sign
            add_counts(self._running, row.report.running, sign)
            add_counts(self._prefill, row.report.prefill, sign)

    def _expire_entries(self, now: float) -> None:
        """Remove the load of expired entries and drop old entries."""
        if now - self._last_expiry < EXPIRY_CHECK_SECONDS:
            return
        self._last_expiry = now
        dropped: list[str] = []
        for key, row in self._reporting.items():
            if row.is_live and now > row.expires_at:
                self._add_load(row, -1)
                row.is_live = False
            if now - row.reported_at > ENTRY_RETENTION_SECONDS:
                dropped.append(key)
        for forgotten in dropped:
            add_counts(self._failed, self._reporting.pop(forgotten).failed, -1)
