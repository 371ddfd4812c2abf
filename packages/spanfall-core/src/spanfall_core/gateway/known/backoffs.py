"""Keep the back-offs that upstreams ask one entry for, by its steady clock."""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from itertools import islice

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Avoided upstreams that a question to the home names, the latest; an entry
#: uses no grant for the others.
MAX_AVOIDED_UPSTREAMS = 64


@dataclass(slots=True)
class Backoffs:
    """Hold until when upstreams want nothing from this entry.

    A back-off is no failure: after it the upstream is served as before.
    """

    _ends_at: dict[Lifetime, float] = field(default_factory=dict)
    #: When the first of them ends.
    _earliest_end: float = float('inf')

    def record(self, lifetime: Lifetime, seconds: float, now: float) -> None:
        """Note that an upstream wants nothing for so long from now."""
        ends_at = max(now + seconds, self._ends_at.pop(lifetime, now))
        self._ends_at[lifetime] = ends_at
        self._earliest_end = min(self._earliest_end, ends_at)

    def active(self, now: float) -> AbstractSet[Lifetime]:
        """Return the upstreams that want nothing now, the latest last."""
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
        """Return those of them that the home is told with a question."""
        if not self.active(now):
            return frozenset()
        return frozenset(islice(reversed(self._ends_at), MAX_AVOIDED_UPSTREAMS))

    def seconds_until_first_end(
        self,
        lifetimes: Iterable[Lifetime],
        now: float,
    ) -> float | None:
        """Return the seconds until the first of some back-offs ends.

        None: none of those upstreams asked for one.
        """
        avoided = self.active(now)
        ends = (self._ends_at[one] for one in lifetimes if one in avoided)
        first = min(ends, default=None)
        return None if first is None else first - now
