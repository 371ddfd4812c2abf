"""Keep the table of upstreams that the platform lists.

A lifetime that was seen leaving or gone never comes back. Rows that vanish
right after an outage of the store get a short time to be written again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

#: Seconds that a row missing after an outage of the store is kept; the
#: platform says that living upstreams are back within about two seconds.
LAPSE_GRACE = 2.0
#: Lifetimes remembered as over; a listing that is late by more is not seen.
REMEMBERED_ENDS = 4096
#: Bits of a digest, so that any codec carries it.
DIGEST_BITS = 0xFFFFFFFFFFFF


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Describe one lifetime of an upstream as the platform lists it."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    reclaimable: bool = False
    warm_up: float = 0
    #: Seconds until it stops, where the platform tells.
    leaves_in: float | None = None


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """State what of a directory has changed since a revision."""

    rows: tuple[ListedUpstream, ...]
    removed: tuple[str, ...]


class Directory:
    """Hold the upstreams that may get work, by service."""

    def __init__(self) -> None:
        """Start with no upstream known."""
        self.revision = 0
        #: Start of the newest read that showed these rows to be the newest.
        self.proved_at = float('-inf')
        #: Digest of the rows: equal where nodes know the same upstreams.
        self.digest = 0
        self.rows: dict[str, ListedUpstream] = {}
        self._ended: dict[str, None] = {}
        self._by_service: dict[str, list[ListedUpstream]] = {}
        #: Revision of the listing that changed each row or had it no more.
        self._changed: dict[str, int] = {}
        self._removed: dict[str, int] = {}

    def apply(
        self,
        revision: int,
        listed: Iterable[ListedUpstream],
        now: float,
        outage_ended: float,
    ) -> tuple[ListedUpstream, ...]:
        """Take over a listing unless it is older than what is known.

        ``outage_ended`` is when the store answered again after its last
        outage. Return the rows that began to leave or went.
        """
        if revision < self.revision:
            return ()
        before = self.rows
        self.revision = revision
        found = {
            row.upstream_id: row
            for row in listed
            if row.upstream_id not in self._ended
        }
        kept = self._lapsed(found, now, outage_ended)
        self.rows = found | kept
        changed = tuple(
            row
            for row in before.values()
            if not row.leaving and self._is_ending(row.upstream_id)
        )
        for upstream_id in before.keys() - self.rows.keys():
            self._note_ended(upstream_id)
            self._changed.pop(upstream_id, None)
            self._removed[upstream_id] = revision
        for key, row in self.rows.items():
            if before.get(key) != row:
                self._changed[key] = revision
        self._index()
        return changed

    def changes_since(self, revision: int) -> DirectoryChange:
        """Return what a node that knows a revision has to learn."""
        rows = (
            self.rows[key]
            for key, changed in self._changed.items()
            if changed > revision and key in self.rows
        )
        removed = (
            key for key, gone in self._removed.items() if gone > revision
        )
        return DirectoryChange(tuple(rows), tuple(removed))

    def with_change(self, change: DirectoryChange) -> list[ListedUpstream]:
        """Return the rows as they are after a change."""
        rows = {
            key: row
            for key, row in self.rows.items()
            if key not in change.removed
        }
        rows.update((row.upstream_id, row) for row in change.rows)
        return list(rows.values())

    def prove(self, proved_at: float) -> None:
        """Note a read that showed the rows; an older one changes nothing."""
        self.proved_at = max(self.proved_at, proved_at)

    def serving(self, service: str) -> list[ListedUpstream]:
        """Return the upstreams of a service that may get new work.

        All nodes that know the same upstreams have them in the same order,
        which has nothing to do with their data centres.
        """
        return self._by_service.get(service, [])

    def end(self, upstream_id: str) -> None:
        """Note that a lifetime has proved to be over."""
        self._note_ended(upstream_id)
        self.rows.pop(upstream_id, None)
        self._index()

    def _note_ended(self, upstream_id: str) -> None:
        self._ended[upstream_id] = None
        if len(self._ended) > REMEMBERED_ENDS:
            oldest = next(iter(self._ended))
            self._ended.pop(oldest)
            self._removed.pop(oldest, None)

    def _is_ending(self, upstream_id: str) -> bool:
        row = self.rows.get(upstream_id)
        return row is None or row.leaving

    def _lapsed(
        self,
        found: dict[str, ListedUpstream],
        now: float,
        outage_ended: float,
    ) -> dict[str, ListedUpstream]:
        if now - outage_ended > LAPSE_GRACE:
            return {}
        return {key: row for key, row in self.rows.items() if key not in found}

    def _index(self) -> None:
        by_service: dict[str, list[ListedUpstream]] = {}
        for row in sorted(self.rows.values(), key=_place_in_row):
            if not row.leaving:
                by_service.setdefault(row.service, []).append(row)
        self._by_service = by_service
        self.digest = _digest(self.rows.values())


def _place_in_row(row: ListedUpstream) -> int:
    return xxh3_64_intdigest(row.upstream_id.encode())


def _digest(rows: Iterable[ListedUpstream]) -> int:
    known = sorted((row.upstream_id, row.address, row.leaving) for row in rows)
    return xxh3_64_intdigest(repr(known).encode()) & DIGEST_BITS
