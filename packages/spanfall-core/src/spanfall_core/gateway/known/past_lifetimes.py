"""Remember what holds for lifetimes of upstreams for good.

An ended lifetime never returns, one that was leaving never serves again, and
only the latest start of an upstream is current, whatever an outdated listing
or a restored store says.
"""

from dataclasses import dataclass, field, replace

from spanfall_core.gateway.known.lifetimes import (
    Lifetime,
    is_earlier,
    name_lifetime,
)
from spanfall_core.gateway.known.listed import ListedUpstream

#: Maximum number of ended lifetimes that are remembered; an outdated listing
#: from before the oldest of them is not recognised.
MAX_ENDED_LIFETIMES = 4096


@dataclass(slots=True)
class PastLifetimes:
    """Hold the ended lifetimes, those seen leaving and the latest starts."""

    #: Ended lifetimes with their upstream ids, oldest first.
    ended: dict[Lifetime, str] = field(default_factory=dict)
    #: Lifetimes that were listed as leaving; a backup from which the store was
    #: restored may still list them as serving.
    seen_leaving: set[Lifetime] = field(default_factory=set)
    #: Latest known start time of each upstream.
    latest_start: dict[str, int] = field(default_factory=dict)

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
        self, lifetime: Lifetime, upstream_id: str
    ) -> Lifetime | None:
        """Record an ended lifetime; return one that is forgotten for it."""
        self.ended[lifetime] = upstream_id
        self.seen_leaving.discard(lifetime)
        if len(self.ended) <= MAX_ENDED_LIFETIMES:
            return None
        oldest = next(iter(self.ended))
        forgotten = self.ended.pop(oldest)
        born = self.latest_start.get(forgotten)
        if oldest == name_lifetime(forgotten, born):
            self.latest_start.pop(forgotten, None)
        return oldest
