"""Remember what holds for lifetimes of upstreams beyond one listing.

An ended lifetime returns only if its upstream has written its record since: no
outdated listing and no copy of the store shows that. One that was leaving never
serves again, and only the latest start of an upstream is current.
"""

from dataclasses import dataclass, field, replace

from spanfall_core.gateway.known.lifetimes import (
    Lifetime,
    is_earlier,
    name_lifetime,
)
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.timelines import timeline_of

#: Maximum number of ended lifetimes that are remembered; an outdated listing
#: from before the oldest of them is not recognised.
MAX_ENDED_LIFETIMES = 4096
#: ``as_of`` of an end that no listing has shown.
NO_LISTING = -1


@dataclass(frozen=True, slots=True)
class EndedLifetime:
    """Describe a lifetime that was found to have ended."""

    upstream_id: str
    #: Revision of the store as of which it had ended; a later write on the same
    #: timeline shows that its upstream lives.
    as_of: int
    was_leaving: bool = False


@dataclass(slots=True)
class PastLifetimes:
    """Hold the ended lifetimes, those seen leaving and the latest starts."""

    #: Ended lifetimes, oldest first.
    ended: dict[Lifetime, EndedLifetime] = field(default_factory=dict)
    #: Ended lifetimes that the last listing contains all the same.
    ignored: set[Lifetime] = field(default_factory=set)
    #: Ended lifetimes that a listing has brought back, until they are taken.
    returned: set[Lifetime] = field(default_factory=set)
    #: Lifetimes that were listed as leaving; a backup from which the store was
    #: restored may still list them as serving.
    seen_leaving: set[Lifetime] = field(default_factory=set)
    #: Latest known start time of each upstream.
    latest_start: dict[str, int] = field(default_factory=dict)
    _timeline: int = 0

    def begin_listing(self, revision: int) -> None:
        """Prepare for the rows of a listing that is not outdated.

        An end that was found on an earlier timeline, or by other means than a
        listing, is one as of this listing.
        """
        self.ignored.clear()
        is_restored = timeline_of(revision) > self._timeline
        self._timeline = timeline_of(revision)
        outdated = [
            lifetime
            for lifetime, ended in self.ended.items()
            if is_restored or ended.as_of == NO_LISTING
        ]
        for lifetime in outdated:
            self.ended[lifetime] = replace(self.ended[lifetime], as_of=revision)

    def admits(self, row: ListedUpstream) -> bool:
        """Return whether a listed lifetime has not ended, or is known to live."""
        lifetime = row.lifetime
        ended = self.ended.get(lifetime)
        if ended is None:
            return True
        if row.written <= ended.as_of:
            self.ignored.add(lifetime)
            return False
        self.returned.add(lifetime)
        self.ended.pop(lifetime)
        if ended.was_leaving:
            self.seen_leaving.add(lifetime)
        return True

    def take_returned(self) -> set[Lifetime]:
        """Return the ended lifetimes that came back, once."""
        returned = self.returned
        self.returned = set()
        return returned

    def is_before_latest(self, row: ListedUpstream) -> bool:
        """Return whether a later start of the upstream is known."""
        return is_earlier(row.born, self.latest_start.get(row.upstream_id))

    def record_start(self, row: ListedUpstream) -> None:
        """Record the start of a lifetime that is the latest known one."""
        if row.born is not None:
            self.latest_start[row.upstream_id] = row.born

    def later_lifetime(self, row: ListedUpstream) -> Lifetime | None:
        """Return the latest lifetime of an upstream if it is a later one."""
        if not self.is_before_latest(row):
            return None
        latest = self.latest_start.get(row.upstream_id)
        return name_lifetime(row.upstream_id, latest)

    def with_past_leaving(self, row: ListedUpstream) -> ListedUpstream:
        """Return a row marked as leaving if it was ever listed as leaving."""
        if row.leaving:
            self.seen_leaving.add(row.lifetime)
        elif row.lifetime in self.seen_leaving:
            return replace(row, leaving=True)
        return row

    def record_ended(
        self, row: ListedUpstream, as_of: int = NO_LISTING
    ) -> Lifetime | None:
        """Record an ended lifetime; return one that is forgotten for it."""
        lifetime = row.lifetime
        was_leaving = row.is_leaving or lifetime in self.seen_leaving
        self.ended[lifetime] = EndedLifetime(
            row.upstream_id, as_of, was_leaving
        )
        self.seen_leaving.discard(lifetime)
        if len(self.ended) <= MAX_ENDED_LIFETIMES:
            return None
        oldest = next(iter(self.ended))
        forgotten = self.ended.pop(oldest).upstream_id
        born = self.latest_start.get(forgotten)
        if oldest == name_lifetime(forgotten, born):
            self.latest_start.pop(forgotten, None)
        return oldest
