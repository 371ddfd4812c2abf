"""Bound what the home gives out beyond what its record in the store says.

When all nodes are killed at one moment, the record alone tells the next home
what was spent. So it holds all that was spent or given out, and a part more,
which the home may give out until the next record is confirmed. By
construction nothing is spent that a next home does not take as spent.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from math import inf

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import Units

#: Part of what is left of a limit that may be given out before the next record:
#: at seven times the usual traffic it lasts for 0.25 s, ten times as long as a
#: write takes. It counts as spent once all nodes are killed.
AHEAD_PART = 0.12
#: Units below which what may be given out is nothing.
LEAST_AHEAD = 1.0
#: Part of it after which the next record is due.
DUE_PART = 0.4
#: Part of a limit that a new home takes as spent at least, for a whole window,
#: where no entry tells: the record may be old, as the store may have been away.
#: In the model of 8 nodes 0.5 refuses 0.037 of the usual requests after a
#: restart of all, this 0.012; 0.35 passes a limit in 1 of 60 courses.
ASSUMED_PART = 0.42
#: Most of a limit that one record lets the home give out, for requests that
#: are larger than the usual part or come all at once.
MOST_PART = 0.5
#: Seconds without a record that the store confirmed after which it counts as
#: away: until then the usual traffic lives on what the last one allows.
UNBOUND_SECONDS = 1.5


def _sums() -> defaultdict[str, float]:
    return defaultdict(float)


@dataclass(frozen=True, slots=True)
class Vouched:
    """State up to where a record vouches for what is given out."""

    #: Units that were given out as it was made, and may be after it.
    given: Units = field(default_factory=dict)
    ahead: Units = field(default_factory=dict)

    def until(self, workspace: str) -> float | None:
        """Return up to how much may be given out; None: not recorded."""
        given = self.given.get(workspace)
        if given is None:
            return None
        return given + self.ahead[workspace]


@dataclass(slots=True)
class GivenAhead:
    """Hold what a home gave out of each limit, and what is recorded of it."""

    #: Whether records are kept at all.
    keeps_records: bool = False
    #: Whether the store takes none: entries would run dry within two seconds
    #: of usual traffic, so they get what is left.
    is_away: bool = False
    #: When the store confirmed the last record.
    _confirmed_at: float = float('-inf')
    #: Units given out since this home began.
    given: defaultdict[str, float] = field(default_factory=_sums)
    _vouched: Vouched = field(default_factory=Vouched)
    #: Units that requests lacked only since the last record was made.
    _wanted: defaultdict[str, float] = field(default_factory=_sums)

    def free(self, workspace: str, limit: Limit, outstanding: float) -> float:
        """Return the units that may be given out now.

        ``outstanding`` is what was spent in the window or may still be.
        """
        if self.is_away or not self.keeps_records:
            return inf
        assumed = limit.total * ASSUMED_PART - outstanding
        until = self._vouched.until(workspace)
        if until is None:
            return max(0, assumed)
        return max(0, assumed, until - self.given[workspace])

    def want(self, workspace: str, units: float) -> None:
        """Note units that the next record is to let the home give out."""
        self._wanted[workspace] += units

    def is_due(self, limits: Limits) -> bool:
        """Tell whether so much was given out or is lacked that one is due."""
        return any(
            self._wanted[name] or self._used(name, limit) > DUE_PART
            for name, limit in limits.items()
        )

    def ahead(
        self,
        workspace: str,
        limit: Limit,
        outstanding: float,
    ) -> float:
        """Return what may be given out once the record that is made is in."""
        if not self.keeps_records:
            return 0
        most = limit.total * MOST_PART
        left = max(0, limit.total - outstanding)
        return max(left * AHEAD_PART, min(self._wanted[workspace], most))

    def vouch(self, ahead: Units) -> Vouched:
        """Return what a record that is made now says.

        ``ahead`` holds for each of its workspaces what may be given out.
        """
        vouched = Vouched({name: self.given[name] for name in ahead}, ahead)
        self._wanted.clear()
        return vouched

    def note_recorded(self, vouched: Vouched, now: float) -> None:
        """Note that the store holds a record."""
        self._vouched = vouched
        self._confirmed_at = now
        self.is_away = False

    def note_failed(self, now: float) -> None:
        """Note that a record was not confirmed; one lost answer is nothing."""
        if now - self._confirmed_at > UNBOUND_SECONDS:
            self.is_away = True

    def _used(self, workspace: str, limit: Limit) -> float:
        until = self._vouched.until(workspace)
        if until is None:
            return self.given[workspace] / (limit.total * AHEAD_PART)
        left = until - self.given[workspace]
        return 1 - left / max(self._vouched.ahead[workspace], LEAST_AHEAD)
