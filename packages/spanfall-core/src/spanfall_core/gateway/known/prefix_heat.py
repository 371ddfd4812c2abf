"""Track the heat of shared prompt parts: how many upstreams their requests fill.

The heat of a part is the number of its requests per second times the seconds
that each takes at an upstream that holds the part. A heat of 2 keeps two
upstreams fully busy.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import nlargest
from math import exp

#: Time constant in seconds of the mean. A part that needs more than one
#: upstream has a dozen requests and more in this time.
HEAT_SECONDS = 2.0
#: Maximum number of parts kept; the one not requested for longest goes first.
#: Far more than can be hot at once: a hot part fills an upstream.
MAX_PARTS = 4096


@dataclass(frozen=True, slots=True)
class PartWork:
    """Hold the decaying sum of the seconds of work of one part."""

    seconds: float
    summed_at: float

    def at(self, now: float) -> float:
        """Return the sum as it is now, in seconds."""
        passed = max(0, now - self.summed_at)
        return self.seconds * exp(-passed / HEAT_SECONDS)


@dataclass(slots=True)
class PrefixHeat:
    """Hold the recent work of the shared prompt parts of one service."""

    #: Time of the last log line with hot parts.
    logged_at: float = float('-inf')
    _work: OrderedDict[str, PartWork] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        """Return the number of parts kept."""
        return len(self._work)

    def record(self, part_id: str, seconds: float, now: float) -> None:
        """Add the work of one request with a part."""
        known = self._work.get(part_id)
        before = 0 if known is None else known.at(now)
        self._work[part_id] = PartWork(before + seconds, now)
        self._work.move_to_end(part_id)
        if len(self._work) > MAX_PARTS:
            self._work.popitem(last=False)

    def heat(self, part_id: str, now: float) -> float:
        """Return the number of upstreams that requests with a part fill."""
        known = self._work.get(part_id)
        return 0 if known is None else known.at(now) / HEAT_SECONDS

    def hottest(self, count: int, now: float) -> list[tuple[float, str]]:
        """Return the parts of the most heat, with their heat, hottest first."""
        heats = (
            (work.at(now) / HEAT_SECONDS, part_id)
            for part_id, work in self._work.items()
        )
        return nlargest(count, heats)
