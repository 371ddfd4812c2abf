"""Keep the back-offs that upstreams ask one entry for, by its steady clock."""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from itertools import islice

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Avoided upstreams that a question to the home names, the latest; an entry
#: uses no grant for the others.
MOST_NAMED = 64


@dataclass(slots=True)
class Backoffs:
    """Hold until when upstreams want nothing from this entry.

    A back-off is no failure: after it the upstream is served as before.
    """

    _until: dict[Lifetime, float] = field(default_factory=dict)
    #: When the first of them ends.
    _first_end: float = float('inf')

    def note(self, lifetime: Lifetime, seconds: float, now: float) -> None:
        """Note that an upstream wants nothing for so long from now."""
        until = max(now + seconds, self._until.pop(lifetime, now))
        self._until[lifetime] = until
        self._first_end = min(self._first_end, until)

    def active(self, now: float) -> AbstractSet[Lifetime]:
        """Return the upstreams that want nothing now, the latest last."""
        if now >= self._first_end:
            self._until = {
                lifetime: until
                for lifetime, until in self._until.items()
                if until > now
            }
            ends = self._until.values()
            self._first_end = min(ends, default=float('inf'))
        return self._until.keys()

    def named(self, now: float) -> frozenset[Lifetime]:
        """Return those of them that the home is told with a question."""
        if not self.active(now):
            return frozenset()
        return frozenset(islice(reversed(self._until), MOST_NAMED))

    def first_end(
        self,
        lifetimes: Iterable[Lifetime],
        now: float,
    ) -> float | None:
        """Return the seconds until the first of some back-offs ends.

        None: none of those upstreams asked for one.
        """
        avoided = self.active(now)
        ends = (self._until[one] for one in lifetimes if one in avoided)
        first = min(ends, default=None)
        return None if first is None else first - now
