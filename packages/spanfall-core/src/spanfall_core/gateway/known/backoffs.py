"""Track the back-offs that upstreams request from one entry.

End times are read from the steady clock.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from itertools import islice

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Maximum number of backed-off upstreams, newest first, that a grant request
#: lists; the entry declines grants for the others.
MAX_AVOIDED_UPSTREAMS = 64


@dataclass(slots=True)
class Backoffs:
    """Store when the back-off of each upstream ends.

    A back-off is not a failure: once it ends, the upstream is used as before.
    """

    _ends_at: dict[Lifetime, float] = field(default_factory=dict)
    #: Earliest end of any back-off.
    _earliest_end: float = float('inf')

    def record(self, lifetime: Lifetime, seconds: float, now: float) -> None:
        """Start or extend a back-off of an upstream."""
        ends_at = max(now + seconds, self._ends_at.pop(lifetime, now))
        self._ends_at[lifetime] = ends_at
        self._earliest_end = min(self._earliest_end, ends_at)

    def active(self, now: float) -> AbstractSet[Lifetime]:
        """Return the upstreams that are backing off now, latest record last."""
        if now >= self._earliest_end:
            self._ends_at = {
                lifetime: ends_at
                for lifetime, ends_at in self._ends_at.items()
                if ends_at > now
            }
            ends = self._ends_at.values()
            self._earliest_end = min(ends, default=float('inf'))
        return self._ends_at.keys()

    def newest(self, now: float) -> frozenset[Lifetime]:
        """Return the newest back-offs, to be listed in a grant request."""
        if not self.active(now):
            return frozenset()
        return frozenset(islice(reversed(self._ends_at), MAX_AVOIDED_UPSTREAMS))

    def seconds_until_first_end(
        self,
        lifetimes: Iterable[Lifetime],
        now: float,
    ) -> float | None:
        """Return the seconds until the first back-off of some upstreams ends.

        Return None if none of these upstreams is backing off.
        """
        avoided = self.active(now)
        ends = (self._ends_at[one] for one in lifetimes if one in avoided)
        first = min(ends, default=None)
        return None if first is None else first - now
