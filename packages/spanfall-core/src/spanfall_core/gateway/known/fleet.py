"""Merge the reports of the entries into the table that the home gives out."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.counting import add_counts, subtract_counts
from spanfall_core.gateway.known.engine_model import (
    PrefillModel,
    PrefillSpeed,
    PrefillSums,
)
from spanfall_core.gateway.known.lifetimes import ByLifetime, Lifetime
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)
from spanfall_core.gateway.known.unit_reports import EntrySpending
from spanfall_core.gateway.known.usage import FleetUsage, WindowCounts

#: Seconds between two looks for entries that are heard no more.
EXPIRY_CHECK_SECONDS = 0.05
#: Seconds without a report after which an entry is forgotten, and is taken to
#: hold nothing any more.
ENTRY_RETENTION_SECONDS = 60.0
#: Seconds for which a new home takes the fleet to be as large as before: its
#: first entries would report at the pace of a small one, and each take the
#: part of a small fleet of what all share.
ASSUMED_SIZE_SECONDS = 3.0

Counts = dict[str, int]


@dataclass(frozen=True, slots=True)
class EntryReport:
    """State what one entry has running and what it spent."""

    node: str
    incarnation: str
    running: ByLifetime = field(default_factory=dict)
    prefill: ByLifetime = field(default_factory=dict)
    failed: ByLifetime = field(default_factory=dict)
    spending: EntrySpending = field(default_factory=EntrySpending)
    usage: WindowCounts = field(default_factory=dict)
    #: Work of reading by service since the process started, in tokens.
    read_work: Counts = field(default_factory=dict)
    #: What requests showed of the speed of reading, by service.
    reading: dict[str, PrefillSums] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Name the entry and its incarnation."""
        return f'{self.node}/{self.incarnation}'


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """Give sums over entries that reported to this home.

    What runs is a sum of the present; what failed is counted since each
    entry first reported to this home.
    """

    running: ByLifetime = field(default_factory=dict)
    prefill: ByLifetime = field(default_factory=dict)
    failed: ByLifetime = field(default_factory=dict)


@dataclass(slots=True)
class ReportingEntry:
    """Hold the first and the newest report of one incarnation."""

    first: EntryReport
    report: EntryReport
    reported_at: float
    #: When it is unheard, unless it reports before.
    expires_at: float
    is_live: bool = True

    @property
    def failed(self) -> ByLifetime:
        """Return what failed since its first report here."""
        return subtract_counts(self.report.failed, self.first.failed)


@dataclass(slots=True)
class FleetState:
    """Hold what the entries reported to this home."""

    #: How fast engines read, as the home before said.
    prior_speeds: Mapping[str, PrefillSpeed] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    #: Entries that the fleet had before this home began, and until when it
    #: is taken to have as many.
    assumed_entries: int = 1
    assumed_until: float = float('-inf')
    _models: dict[str, PrefillModel] = field(default_factory=dict)
    _reporting: dict[str, ReportingEntry] = field(default_factory=dict)
    #: Sums over the entries that are heard; for what failed, over all.
    _live_entries: int = 0
    _running: Counter[Lifetime] = field(default_factory=Counter)
    _prefill: Counter[Lifetime] = field(default_factory=Counter)
    _failed: Counter[Lifetime] = field(default_factory=Counter)
    _last_expiry: float = float('-inf')

    def add_report(self, report: EntryReport, now: float) -> None:
        """Take over the newest report of an entry."""
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
        """Return how many entries the fleet has, as far as is known."""
        self._expire_entries(now)
        assumed = self.assumed_entries if now < self.assumed_until else 1
        return max(1, assumed, self._live_entries)

    def period(self, now: float) -> float:
        """Return the seconds until an entry heard now is to report again."""
        return report_period(self.size(now))

    def totals_except(self, key: str, now: float) -> FleetTotals:
        """Return the sums over all entries but one."""
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
        """Return what runs at each upstream."""
        self._expire_entries(now)
        return dict(self._running)

    def read_work(self) -> Counts:
        """Return the work of reading since the home knows each entry."""
        total: Counter[str] = Counter()
        for row in self._reporting.values():
            first = row.first.read_work
            add_counts(total, subtract_counts(row.report.read_work, first))
        return dict(total)

    def speeds(self) -> dict[str, PrefillSpeed]:
        """Return how fast engines read, by service."""
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
        """Add what an entry that is heard has running, or take it off."""
        if row.is_live:
            self._live_entries += sign
            add_counts(self._running, row.report.running, sign)
            add_counts(self._prefill, row.report.prefill, sign)

    def _expire_entries(self, now: float) -> None:
        """Find the entries that are heard no more, and forget old ones."""
        if now - self._last_expiry < EXPIRY_CHECK_SECONDS:
            return
        self._last_expiry = now
        old: list[str] = []
        for key, row in self._reporting.items():
            if row.is_live and now > row.expires_at:
                self._add_load(row, -1)
                row.is_live = False
            if now - row.reported_at > ENTRY_RETENTION_SECONDS:
                old.append(key)
        for forgotten in old:
            add_counts(self._failed, self._reporting.pop(forgotten).failed, -1)
