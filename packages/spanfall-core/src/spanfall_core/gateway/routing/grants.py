"""Count at the home what runs where, exact to the last grant.

An entry's own counts are the truth, but they arrive late. Grants that they
do not include yet are added to them, so two requests that ask in the same
moment are not sent to the same free upstream.
"""

from collections import Counter
from dataclasses import dataclass, field

from spanfall_core.gateway.known.counting import add_counts
from spanfall_core.gateway.known.lifetimes import ByLifetime, Lifetime
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.reporting import LOAD_EXPIRY_SECONDS


@dataclass(frozen=True, slots=True)
class EntryLoad:
    """State what one entry has running, by upstream."""

    running: ByLifetime = field(default_factory=dict)
    #: Prompt tokens that the upstream has still to read.
    prefill: ByLifetime = field(default_factory=dict)
    #: Number of the last grant that the counts include, or that was not used.
    seen: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Let one entry send one request to one upstream."""

    number: int
    lifetime: Lifetime
    #: Prompt tokens that the upstream is expected to read for it, and those
    #: that wait there.
    prefill: int
    ahead: int = 0
    #: Whether the upstream names a limit, and this counts against it.
    is_permit: bool = False


@dataclass(frozen=True, slots=True)
class ComeBack:
    """Say that no upstream takes a request now, and when one does."""

    seconds: float


@dataclass(slots=True)
class EntryGrants:
    """Hold the last counts of an entry and the grants that came after."""

    load: EntryLoad = field(default_factory=EntryLoad)
    heard_at: float = 0
    #: Seconds after which it is unheard, by the period that it was told.
    unheard_after: float = LOAD_EXPIRY_SECONDS
    pending: list[Grant] = field(default_factory=list)


@dataclass(slots=True)
class GrantBook:
    """Hold the sums over all entries that are alive."""

    running: Counter[Lifetime] = field(default_factory=Counter)
    prefill: Counter[Lifetime] = field(default_factory=Counter)
    #: Requests that asked for the first time, by service, granted or not.
    asked: Counter[str] = field(default_factory=Counter)
    _entries: dict[str, EntryGrants] = field(default_factory=dict)

    def learn(self, entry: str, load: EntryLoad, now: float) -> None:
        """Take over the newest counts of an entry."""
        row = self._entries.setdefault(entry, EntryGrants())
        self._add(row.load, -1)
        self._add(load, 1)
        row.load = load
        row.heard_at = now
        included = [one for one in row.pending if one.number <= load.seen]
        for grant in included:
            self._count(grant, -1)
        row.pending = row.pending[len(included) :]

    def expect(self, entry: str, unheard_after: float) -> None:
        """Note how long an entry may be silent, as its reports are due."""
        self._entries[entry].unheard_after = unheard_after

    def grant(self, entry: str, grant: Grant) -> None:
        """Count a grant until the entry's own counts include it."""
        self._entries.setdefault(entry, EntryGrants()).pending.append(grant)
        self._count(grant, 1)

    def forget_silent(self, now: float) -> None:
        """Drop the entries that are not heard any more."""
        silent = [
            entry
            for entry, row in self._entries.items()
            if now - row.heard_at > row.unheard_after
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
    """Show the home's exact counts and the failures that it knows."""

    book: GrantBook
    failures: Loads

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run at an upstream, fleet wide."""
        return self.book.running[lifetime]

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that an upstream has still to read."""
        return max(0, self.book.prefill[lifetime])

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures of an upstream."""
        return self.failures.failures_at(lifetime, now)
