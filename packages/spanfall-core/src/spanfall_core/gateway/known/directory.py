"""Keep the table of upstreams that the platform lists.

A lifetime that was seen leaving or gone never comes back; another one of the
same upstream does. Rows that vanish right after an outage of the store get a
short time to be written again. An entry that names no upstream to use pauses
the one that it belongs to, until the upstream writes it again.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.lifetimes import (
    Lifetime,
    is_earlier,
    name_lifetime,
)
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.timelines import REWRITE_SECONDS

#: Lifetimes remembered as over; a listing that is late by more is not seen.
MAX_ENDED_LIFETIMES = 4096
#: Bits of a digest, so that any codec carries it.
DIGEST_BITS = 0xFFFFFFFFFFFF
#: No upstream, where nobody keeps what they say.
NO_LIFETIMES: AbstractSet[Lifetime] = frozenset()


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """State what of a directory has changed since a revision."""

    rows: tuple[ListedUpstream, ...]
    removed: tuple[Lifetime, ...]


class Directory:
    """Hold the upstreams that may get work, by service."""

    def __init__(
        self,
        said_leaving: AbstractSet[Lifetime] = NO_LIFETIMES,
    ) -> None:
        """Start with no upstream known.

        ``said_leaving`` are the lifetimes that said that they leave, kept by
        their owner. That holds for good: a listing may be older than the word,
        or the upstream may not have reached the store.
        """
        self._said_leaving = said_leaving
        self.revision = 0
        #: Start of the newest read that showed these rows to be the newest.
        self.confirmed_at = float('-inf')
        #: Digest of the rows: equal where nodes know the same upstreams.
        self.digest = 0
        self.rows: dict[Lifetime, ListedUpstream] = {}
        #: Whether these rows differ from those of the node that told changes
        #: of them, so that all have to be told.
        self.has_diverged = False
        #: Lifetimes that are over, oldest first, and whose they are.
        self._ended: dict[Lifetime, str] = {}
        #: Those listed as leaving: a copy that the store was restored from may
        #: list them as they were before.
        self._seen_leaving: set[Lifetime] = set()
        #: The latest start that is known of each upstream.
        self._latest_start: dict[str, int] = {}
        self._by_service: dict[str, list[ListedUpstream]] = {}
        #: Lifetimes that are listed at each address.
        self._address_counts: Counter[str] = Counter()
        #: When another upstream of each service was last listed.
        self._last_added_at: dict[str, float] = {}
        #: Revision of the listing that changed each row or had it no more.
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
        """Take over a listing unless it is older than what is known.

        ``outage_ended`` is when the store answered again after its last
        outage, ``unusable`` names upstreams whose entries cannot be used.
        Return the rows that began to leave or went.
        """
        if revision < self.revision:
            return ()
        before = self.rows
        self.revision = revision
        found = self._current_rows(listed, unusable)
        retained = self._retained_rows(found, now, outage_ended)
        # What is kept beyond the listing no change since it would remove.
        self.has_diverged = bool(retained)
        self.rows = found | retained
        changed = tuple(
            row
            for row in before.values()
            if not row.is_leaving and self._is_ending(row.lifetime)
        )
        for gone in before.keys() - self.rows.keys():
            self._record_ended(gone, before[gone].upstream_id)
            self._changed_in.pop(gone, None)
            self._removed_in[gone] = revision
        for key, row in self.rows.items():
            if before.get(key) != row:
                self._changed_in[key] = revision
            if key not in before:
                self._last_added_at[row.service] = now
        self._index()
        return changed

    def _current_rows(
        self,
        listed: Iterable[ListedUpstream],
        unusable: Collection[str],
    ) -> dict[Lifetime, ListedUpstream]:
        """Return the rows of a listing that are not over.

        An entry with an earlier start than is known was not written by the
        upstream as it is now: like one that cannot be used, it pauses it.
        """
        found: dict[Lifetime, ListedUpstream] = {}
        paused = set(unusable)
        for row in listed:
            if is_earlier(row.born, self._latest_start.get(row.upstream_id)):
                paused.add(row.upstream_id)
                continue
            if row.born is not None:
                self._latest_start[row.upstream_id] = row.born
            if row.lifetime not in self._ended:
                found[row.lifetime] = self._with_statement(
                    self._with_past_leaving(row)
                )
        paused -= {usable.upstream_id for usable in found.values()}
        return found | self._paused_rows(paused) if paused else found

    def _with_past_leaving(self, row: ListedUpstream) -> ListedUpstream:
        """Return a row that leaves if it was ever listed as leaving."""
        if row.leaving:
            self._seen_leaving.add(row.lifetime)
        elif row.lifetime in self._seen_leaving:
            return replace(row, leaving=True)
        return row

    def _with_statement(self, row: ListedUpstream) -> ListedUpstream:
        """Return a row with what its upstream said itself."""
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
        """Return what a node that knows a revision has to learn."""
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
        """Return the revision since which changes are enough; 0: tell all."""
        return 0 if self.has_diverged else self.revision

    def check_digest(self, digest: int) -> None:
        """Compare with the digest of the node that told what has changed."""
        self.has_diverged = digest != self.digest

    def with_change(self, change: DirectoryChange) -> list[ListedUpstream]:
        """Return the rows as they are after a change."""
        rows = {
            key: row
            for key, row in self.rows.items()
            if key not in change.removed
        }
        rows.update((row.lifetime, row) for row in change.rows)
        return list(rows.values())

    def confirm(self, confirmed_at: float) -> None:
        """Note a read that showed the rows; an older one changes nothing."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def serving(self, service: str) -> list[ListedUpstream]:
        """Return the upstreams of a service that may get new work.

        All nodes that know the same lifetimes have them in the same order,
        which has nothing to do with their data centres.
        """
        return self._by_service.get(service, [])

    def is_replaced(self, row: ListedUpstream) -> bool:
        """Tell whether another lifetime has the address of a listed one."""
        return self._address_counts[row.address] > 1

    def last_added_at(self, service: str) -> float:
        """Return when another upstream of a service was last listed."""
        return self._last_added_at.get(service, float('-inf'))

    def apply_statements(self, lifetimes: Iterable[Lifetime]) -> None:
        """Take over what some upstreams have just said of themselves."""
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
            # The order stays, which is dear to find among thousands.
            self._by_service[service] = [
                row
                for row in self.serving(service)
                if row.lifetime not in self._said_leaving
            ]

    def end(self, lifetime: Lifetime) -> None:
        """Note that a lifetime has proved to be over."""
        row = self.rows.pop(lifetime, None)
        if row is not None:
            self._record_ended(lifetime, row.upstream_id)
            self._index()

    def _record_ended(self, lifetime: Lifetime, upstream_id: str) -> None:
        self._ended[lifetime] = upstream_id
        self._seen_leaving.discard(lifetime)
        if len(self._ended) <= MAX_ENDED_LIFETIMES:
            return
        oldest = next(iter(self._ended))
        forgotten = self._ended.pop(oldest)
        self._removed_in.pop(oldest, None)
        born = self._latest_start.get(forgotten)
        if oldest == name_lifetime(forgotten, born):
            self._latest_start.pop(forgotten, None)

    def _is_ending(self, lifetime: Lifetime) -> bool:
        row = self.rows.get(lifetime)
        return row is None or row.is_leaving

    def _retained_rows(
        self,
        found: dict[Lifetime, ListedUpstream],
        now: float,
        outage_ended: float,
    ) -> dict[Lifetime, ListedUpstream]:
        if now - outage_ended > REWRITE_SECONDS:
            return {}
        listed = {row.upstream_id for row in found.values()}
        return {
            key: row
            for key, row in self.rows.items()
            if key not in found and row.upstream_id not in listed
        }

    def _index(self) -> None:
        by_service: dict[str, list[ListedUpstream]] = {}
        for row in sorted(self.rows.values(), key=_ring_position):
            if row.is_serving:
                by_service.setdefault(row.service, []).append(row)
        self._by_service = by_service
        listed = self.rows.values()
        self._address_counts = Counter(known.address for known in listed)
        self.digest = _digest(self.rows.values())


def ring_position(lifetime: Lifetime) -> int:
    """Return the place of a lifetime on a ring that all nodes share."""
    return xxh3_64_intdigest(lifetime.encode())


def _ring_position(row: ListedUpstream) -> int:
    return ring_position(row.lifetime)


def _digest(rows: Iterable[ListedUpstream]) -> int:
    known = sorted(
        (row.lifetime, row.address, row.leaving, row.paused) for row in rows
    )
    return xxh3_64_intdigest(repr(known).encode()) & DIGEST_BITS
