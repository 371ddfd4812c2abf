"""Count at the home what runs at each upstream, including the latest grants.

The counts that entries report are exact but arrive late. Grants that they do
not include yet are added, so that two simultaneous requests are not sent to
the same free upstream.
"""

from collections import Counter
from dataclasses import dataclass, field

from spanfall_core.gateway.known.counting import add_counts
from spanfall_core.gateway.known.lifetimes import ByLifetime, Lifetime
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.reporting import LOAD_EXPIRY_SECONDS


@dataclass(frozen=True, slots=True)
class EntryLoad:
    """Hold what one entry has running at each upstream."""

    running: ByLifetime = field(default_factory=dict)
    #: Prompt tokens that each upstream has still to read.
    prefill: ByLifetime = field(default_factory=dict)
    #: Number of the last grant that the counts include or that was not used.
    seen: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Permit one entry to send one request to one upstream."""

    number: int
    lifetime: Lifetime
    #: Prompt tokens that the upstream is expected to read for it, and those
    #: queued before it.
    prefill: int
    ahead: int = 0
    #: Whether the upstream names a rate limit that this grant counts against.
    is_permit: bool = False


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """State that no upstream accepts a request now, and when to retry."""

    seconds: float


@dataclass(slots=True)
class EntryGrants:
    """Hold the last counts of an entry and the grants made since."""

    load: EntryLoad = field(default_factory=EntryLoad)
    last_report_at: float = 0
    #: Seconds without a report after which the entry is dropped, derived from
    #: the report period that it was given.
    load_expires_after: float = LOAD_EXPIRY_SECONDS
    pending: list[Grant] = field(default_factory=list)


@dataclass(slots=True)
class GrantBook:
    """Sum the counts and pending grants of all live entries."""

    running: Counter[Lifetime] = field(default_factory=Counter)
    prefill: Counter[Lifetime] = field(default_factory=Counter)
    #: First attempts of requests, by service, granted or not.
    first_attempts: Counter[str] = field(default_factory=Counter)
    _entries: dict[str, EntryGrants] = field(default_factory=dict)

    def apply_report(self, entry: str, load: EntryLoad, now: float) -> None:
        """Replace the counts of an entry with those of its newest report."""
        row = self._entries.setdefault(entry, EntryGrants())
        self._add(row.load, -1)
        self._add(load, 1)
        row.load = load
        row.last_report_at = now
        included = [one for one in row.pending if one.number <= load.seen]
        for grant in included:
            self._count(grant, -1)
        row.pending = row.pending[len(included) :]

    def set_load_expiry(self, entry: str, load_expires_after: float) -> None:
        """Set the time without a report after which an entry is dropped."""
        self._entries[entry].load_expires_after = load_expires_after

    def grant(self, entry: str, grant: Grant) -> None:
        """Count a grant until the counts of the entry include it."""
        self._entries.setdefault(entry, EntryGrants()).pending.append(grant)
        self._count(grant, 1)

    def drop_silent_entries(self, now: float) -> None:
        """Drop the entries whose reports are overdue."""
        silent = [
            entry
            for entry, row in self._entries.items()
            if now - row.last_report_at > row.load_expires_after
        ]
        for entry in silent:
            row = self._entries.pop(entry)
            self._add(row.load, -1)
            for grant in row.pending:
                self._count(grant, -1)

    def _add(self, load: EntryLoad, sign: int) -> None:
        add_counts(self.running, load.running, sign)
        add_counts(self.prefill, load.prefill, sign)

    def _count(self, grant: Grant, sign: int) -> None:
        add_counts(self.running, {grant.lifetime: 1}, sign)
        add_counts(self.prefill, {grant.lifetime: grant.prefill}, sign)


@dataclass(frozen=True, slots=True)
class FleetLoads:
    """Combine the exact counts of the home with the recorded failures."""

    book: GrantBook
    failures: Loads

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run at an upstream, fleet-wide."""
        return self.book.running[lifetime]

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that an upstream has still to read."""
        return max(0, self.book.prefill[lifetime])

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures of an upstream."""
        return self.failures.failures_at(lifetime, now)

    def factor_at(self, lifetime: Lifetime, now: float) -> float:
        """Return 1: all upstreams are taken to be equally fast."""
        return 1
