"""Maintain the table of upstreams that the platform lists.

A lifetime that was listed as leaving never returns to service; one that was
removed does once its upstream writes its record again. Rows that are missing
right after an outage of the store are retained for a short time, so that they
can be written again. An unusable record pauses the upstream that it belongs to
until the upstream writes a usable one.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace

from spanfall_core.gateway.known.digests import directory_digest
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import (
    ListedUpstream,
    ring_position,
)
from spanfall_core.gateway.known.past_lifetimes import (
    NO_LISTING,
    PastLifetimes,
)
from spanfall_core.gateway.known.timelines import REWRITE_SECONDS
from spanfall_core.gateway.known.version_history import VersionHistory

#: Default for a directory whose owner tracks no statements of upstreams.
NO_LIFETIMES: AbstractSet[Lifetime] = frozenset()


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """Describe how a directory has changed since a revision."""

    rows: tuple[ListedUpstream, ...]
    removed: tuple[Lifetime, ...]


class Directory:
    """Index the upstreams that may receive work, by service."""

    def __init__(
        self,
        said_leaving: AbstractSet[Lifetime] = NO_LIFETIMES,
    ) -> None:
        """Start with an empty directory.

        ``said_leaving`` is the set of lifetimes that stated in an answer that
        they are leaving; its owner updates it. The statement is final: a
        listing may predate it, or the upstream may have failed to update its
        record in the store.
        """
        self._said_leaving = said_leaving
        self.revision = 0
        #: Start time of the latest read that confirmed these rows as current.
        self.confirmed_at = float('-inf')
        #: Digest of the rows, equal on nodes that have the same upstreams.
        self.digest = 0
        self.rows: dict[Lifetime, ListedUpstream] = {}
        #: Lifetimes that are kept though the current listing lacks them.
        self.retained: AbstractSet[Lifetime] = NO_LIFETIMES
        #: Time until which they may serve.
        self.retained_until = float('-inf')
        self.versions = VersionHistory()
        #: Whether these rows differ from those of the node that sends deltas,
        #: so that the node has to send all rows.
        self.has_diverged = False
        self.past = PastLifetimes()
        self._by_service: dict[str, list[ListedUpstream]] = {}
        #: Number of listed lifetimes at each address.
        self.address_counts: Counter[str] = Counter()
        #: When a new upstream of each service was last listed.
        self._last_added_at: dict[str, float] = {}
        #: Revision of the listing that changed or removed each row.
        self._changed_in: dict[Lifetime, int] = {}
        self._removed_in: dict[Lifetime, int] = {}

    def apply(
        self,
        revision: int,
        listed: Iterable[ListedUpstream],
        now: float,
        outage_ended: float,
        unusable: Collection[str] = (),
    ) -> tuple[ListedUpstream, ...]:
        """Apply a listing unless it is older than the current one.

        ``outage_ended`` is the time at which the store answered again after
        its last outage; ``unusable`` holds the ids of upstreams whose records
        cannot be used. Return the previous rows that have started to leave or
        are gone.
        """
        if revision < self.revision:
            return ()
        before = self.rows
        self.revision = revision
        self.past.begin_listing(revision)
        found = self._current_rows(listed, unusable)
        retained = self._retained_rows(found, now, outage_ended)
        # Rows retained beyond the listing are not removed by any later delta.
        self.has_diverged = bool(retained)
        self.rows = found | retained
        self.retained = retained.keys()
        self.retained_until = outage_ended + REWRITE_SECONDS
        changed = tuple(
            row
            for row in before.values()
            if not row.is_leaving and self._is_ending(row.lifetime)
        )
        gone = before.keys() - self.rows.keys()
        if gone:
            # Pages are read one after the other, the last ones later.
            as_of = max([revision, *(row.written for row in found.values())])
            self._record_gone([before[key] for key in gone], as_of)
        for key, row in self.rows.items():
            if before.get(key) != row:
                self._changed_in[key] = revision
            if key not in before:
                self._last_added_at[row.service] = now
        self._index()
        self.versions.apply(self.rows.values(), now)
        return changed

    def pause_retained(self, now: float) -> None:
        """Let retained upstreams serve no longer once their time is over.

        The next listing tells which of them were written again.
        """
        if now < self.retained_until:
            return
        for key in self.retained & self.rows.keys():
            self.rows[key] = replace(self.rows[key], paused=True)
            self._changed_in[key] = self.revision
        self._index()

    def _current_rows(
        self,
        listed: Iterable[ListedUpstream],
        unusable: Collection[str],
    ) -> dict[Lifetime, ListedUpstream]:
        """Return the rows of a listing whose lifetimes are not known to be over.

        A record with an earlier start than the latest known one does not
        describe the current lifetime; it pauses the upstream like an unusable
        record.
        """
        found: dict[Lifetime, ListedUpstream] = {}
        paused = set(unusable)
        for row in listed:
            if self.past.is_before_latest(row):
                paused.add(row.upstream_id)
                continue
            self.past.record_start(row)
            if self.past.admits(row):
                found[row.lifetime] = self._with_statement(
                    self.past.with_past_leaving(row)
                )
        paused -= {usable.upstream_id for usable in found.values()}
        return found | self._paused_rows(paused) if paused else found

    def _with_statement(self, row: ListedUpstream) -> ListedUpstream:
        """Return a row updated with the statement of its upstream."""
        announced = row.lifetime in self._said_leaving
        if announced == row.said_leaving:
            return row
        return replace(row, said_leaving=announced)

    def _paused_rows(self, paused: set[str]) -> dict[Lifetime, ListedUpstream]:
        return {
            key: replace(row, paused=True)
            for key, row in self.rows.items()
            if row.upstream_id in paused
        }

    def changes_since(self, revision: int) -> DirectoryChange:
        """Return the delta for a node that has the given revision."""
        rows = (
            self.rows[key]
            for key, changed in self._changed_in.items()
            if changed > revision and key in self.rows
        )
        removed = (
            key for key, gone in self._removed_in.items() if gone > revision
        )
        return DirectoryChange(tuple(rows), tuple(removed))

    @property
    def delta_base(self) -> int:
        """Return the revision to build a delta on; 0 requests all rows."""
        return 0 if self.has_diverged else self.revision

    def check_digest(self, digest: int) -> None:
        """Compare the digest of the node that sent the last delta."""
        self.has_diverged = digest != self.digest

    def with_change(self, change: DirectoryChange) -> list[ListedUpstream]:
        """Return the rows after applying a delta."""
        rows = {
            key: row
            for key, row in self.rows.items()
            if key not in change.removed
        }
        rows.update((row.lifetime, row) for row in change.rows)
        return list(rows.values())

    def mark_confirmed(self, confirmed_at: float) -> None:
        """Record a read that confirmed the rows; older reads have no effect."""
        self.versions.record_gap(self.confirmed_at, confirmed_at)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def serving(self, service: str) -> list[ListedUpstream]:
        """Return the upstreams of a service that may receive new work.

        Nodes with the same lifetimes return them in the same order, which is
        independent of their data centres.
        """
        return self._by_service.get(service, [])

    def is_replaced(self, row: ListedUpstream) -> bool:
        """Return whether another lifetime is listed at the address of a row."""
        return self.address_counts[row.address] > 1

    def last_added_at(self, service: str) -> float:
        """Return when a new upstream of a service was last listed."""
        return self._last_added_at.get(service, float('-inf'))

    def later_lifetime(self, row: ListedUpstream) -> ListedUpstream | None:
        """Return the listed later lifetime of the same upstream, if any."""
        later = self.past.later_lifetime(row)
        return None if later is None else self.rows.get(later)

    def apply_statements(self, lifetimes: Iterable[Lifetime]) -> None:
        """Apply new statements of upstreams that they are leaving."""
        services: set[str] = set()
        for lifetime in lifetimes:
            row = self.rows.get(lifetime)
            if row is None:
                continue
            updated = self._with_statement(row)
            if updated is not row:
                self.rows[lifetime] = updated
                services.add(row.service)
        for service in services:
            # Filtering keeps the order; sorting thousands of rows again is
            # expensive.
            self._by_service[service] = [
                row
                for row in self.serving(service)
                if row.lifetime not in self._said_leaving
            ]

    def end(self, lifetime: Lifetime) -> None:
        """Remove a lifetime that was found to have ended."""
        row = self.rows.pop(lifetime, None)
        if row is not None:
            self._record_ended(row)
            self._index()

    def _record_gone(self, rows: list[ListedUpstream], as_of: int) -> None:
        for row in rows:
            self._record_ended(row, as_of)
            self._changed_in.pop(row.lifetime, None)
            self._removed_in[row.lifetime] = self.revision

    def _record_ended(
        self, row: ListedUpstream, as_of: int = NO_LISTING
    ) -> None:
        forgotten = self.past.record_ended(row, as_of)
        if forgotten is not None:
            self._removed_in.pop(forgotten, None)

    def _is_ending(self, lifetime: Lifetime) -> bool:
        row = self.rows.get(lifetime)
        return row is None or row.is_leaving

    def _retained_rows(
        self,
        found: dict[Lifetime, ListedUpstream],
        now: float,
        outage_ended: float,
    ) -> dict[Lifetime, ListedUpstream]:
        if now >= outage_ended + REWRITE_SECONDS:
            return {}
        listed = {row.upstream_id for row in found.values()}
        return {
            key: row
            for key, row in self.rows.items()
            if key not in found and row.upstream_id not in listed
        }

    def _index(self) -> None:
        by_service: dict[str, list[ListedUpstream]] = {}
        for row in sorted(self.rows.values(), key=ring_position):
            if row.is_serving:
                by_service.setdefault(row.service, []).append(row)
        self._by_service = by_service
        listed = self.rows.values()
        self.address_counts = Counter(known.address for known in listed)
        self.digest = directory_digest(self.rows.values())
