"""Merge the reports of the entries into the table that the home gives out."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from spanfall_core.gateway.engine_model import (
    ReadingModel,
    ReadingSpeed,
    ReadingSums,
)
from spanfall_core.gateway.unit_reports import EntrySpending
from spanfall_core.gateway.usage import FleetUsage, WindowCounts

#: Seconds without a word after which an entry's running requests no longer
#: count.
ENTRY_SILENCE = 2.0
#: Seconds for which sums are kept before they are added up again.
SUM_SECONDS = 0.05
#: Seconds without a report after which an entry is forgotten, and is taken to
#: hold nothing any more.
FORGET_SECONDS = 60.0

Counts = dict[str, int]


@dataclass(frozen=True, slots=True)
class EntryReport:
    """State what one entry has running and what it spent."""

    node: str
    incarnation: str
    running: Counts = field(default_factory=dict)
    prefill: Counts = field(default_factory=dict)
    failed: Counts = field(default_factory=dict)
    spending: EntrySpending = field(default_factory=EntrySpending)
    usage: WindowCounts = field(default_factory=dict)
    #: Work of reading by service since the process started, in tokens.
    read_work: Counts = field(default_factory=dict)
    #: What requests showed of the speed of reading, by service.
    reading: dict[str, ReadingSums] = field(default_factory=dict)

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

    entries: int = 0
    running: Counts = field(default_factory=dict)
    prefill: Counts = field(default_factory=dict)
    failed: Counts = field(default_factory=dict)


@dataclass(slots=True)
class HeardEntry:
    """Hold the first and the newest report of one incarnation."""

    first: EntryReport
    report: EntryReport
    heard_at: float

    def totals(self, now: float) -> FleetTotals:
        """Return what this entry adds to the sums."""
        live = now - self.heard_at <= ENTRY_SILENCE
        return FleetTotals(
            entries=int(live),
            running=self.report.running if live else {},
            prefill=self.report.prefill if live else {},
            failed=_less(self.report.failed, self.first.failed),
        )


@dataclass(slots=True)
class Summed:
    """Hold the sums of one moment and the part of each entry."""

    at: float = float('-inf')
    parts: dict[str, FleetTotals] = field(default_factory=dict)
    totals: FleetTotals = field(default_factory=FleetTotals)


@dataclass(slots=True)
class FleetState:
    """Hold what the entries reported to this home."""

    #: How fast engines read, as the home before said.
    known_speeds: Mapping[str, ReadingSpeed] = field(default_factory=dict)
    usage: FleetUsage = field(default_factory=FleetUsage)
    _models: dict[str, ReadingModel] = field(default_factory=dict)
    _heard: dict[str, HeardEntry] = field(default_factory=dict)
    _summed: Summed = field(default_factory=Summed)

    def learn(self, report: EntryReport, now: float) -> None:
        """Take over the newest report of an entry."""
        known = self._heard.get(report.key)
        if known is None:
            self._heard[report.key] = HeardEntry(report, report, now)
        else:
            known.report = report
            known.heard_at = now
        self.usage.learn(report.key, report.usage)
        for service, sums in report.reading.items():
            self._model(service).learn(report.key, sums, now)

    def others(self, key: str, now: float) -> FleetTotals:
        """Return the sums over all entries but one."""
        if now - self._summed.at > SUM_SECONDS:
            self._summed = self._sum(now)
        summed = self._summed.totals
        own = self._summed.parts.get(key, FleetTotals())
        return replace(
            summed,
            running=_less(summed.running, own.running),
            prefill=_less(summed.prefill, own.prefill),
            failed=_less(summed.failed, own.failed),
        )

    def running(self, now: float) -> Counts:
        """Return what runs at each upstream."""
        return self._sum(now).totals.running

    def read_work(self) -> Counts:
        """Return the work of reading since the home knows each entry."""
        return _sum(
            _less(row.report.read_work, row.first.read_work)
            for row in self._heard.values()
        )

    def speeds(self) -> dict[str, ReadingSpeed]:
        """Return how fast engines read, by service."""
        learned = {name: row.speed() for name, row in self._models.items()}
        return {**self.known_speeds, **learned}

    def _model(self, service: str) -> ReadingModel:
        known = self._models.get(service)
        if known is None:
            prior = self.known_speeds.get(service, ReadingSpeed())
            known = ReadingModel(prior)
            self._models[service] = known
        return known

    def _sum(self, now: float) -> Summed:
        self._forget_old(now)
        parts = {key: row.totals(now) for key, row in self._heard.items()}
        rows = parts.values()
        totals = FleetTotals(
            entries=sum(row.entries for row in rows),
            running=_sum(row.running for row in rows),
            prefill=_sum(row.prefill for row in rows),
            failed=_sum(row.failed for row in rows),
        )
        return Summed(now, parts, totals)

    def _forget_old(self, now: float) -> None:
        old = [
            key
            for key, row in self._heard.items()
            if now - row.heard_at > FORGET_SECONDS
        ]
        for key in old:
            self._heard.pop(key)


def _sum(rows: Iterable[Mapping[str, int]]) -> Counts:
    total: Counter[str] = Counter()
    for row in rows:
        total.update(row)
    return dict(total)


def _less(counts: Mapping[str, int], part: Mapping[str, int]) -> Counts:
    """Return the differences that are not zero."""
    differences = (
        (key, count - part.get(key, 0)) for key, count in counts.items()
    )
    return {key: count for key, count in differences if count}
