"""Pace a workspace that presses against its limit.

A limit allows the units of a whole window at any moment. A workspace that
suddenly asks for several times its rate would spend what is left of its window
at once, at the cost of all others, and get next to nothing for the rest of the
window. Units are therefore released at its rate for one window. Shorter and
lower peaks fit into the window and are not paced.
"""

from dataclasses import dataclass, field
from math import inf

from spanfall_core.gateway.known.limits import Limit
from spanfall_core.gateway.known.spending import Spending

#: Multiple of its rate at which a workspace spends if it is pressing, and the
#: seconds over which that is measured. At this multiple the rest of a window of
#: several seconds is gone before a peak in the usual variation ends.
PRESSING_RATE = 2.0
PRESSING_SECONDS = 1.0
#: Part of a limit that is spent in the window of a pressing workspace. It is
#: above the part of one that uses half of its rate.
PRESSING_PART = 0.6
#: Seconds of a workspace's rate by which its bucket may be overdrawn.
MAX_DEBT_SECONDS = 0.5


@dataclass(slots=True)
class TokenBucket:
    """Hold the units that may be released now, while it paces."""

    level: float
    updated_at: float
    #: Units spent in the last ``PRESSING_SECONDS``.
    recent: Spending = field(default_factory=Spending)
    paced_until: float = -inf

    def refill(self, limit: Limit, now: float) -> None:
        """Add the units of the time since the last refill, up to the burst."""
        accrued = max(0, now - self.updated_at) * limit.rate
        self.level = min(max(limit.burst, limit.rate), self.level + accrued)
        self.updated_at = now


@dataclass(slots=True)
class Pacing:
    """Hold a bucket for each workspace with a limit, at the home."""

    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def record_spent(
        self, workspace: str, limit: Limit, units: float, now: float
    ) -> None:
        """Take spent units from the bucket of a workspace.

        Entries may spend more than that, which they held before. Little of it
        is charged later: the window bounds it.
        """
        bucket = self._bucket(workspace, limit, now)
        least = -limit.rate * MAX_DEBT_SECONDS
        bucket.level = max(least, bucket.level - units)
        bucket.recent.spend(units, PRESSING_SECONDS, now)

    def release(
        self, workspace: str, limit: Limit, spent: float, now: float
    ) -> float:
        """Return the units that entries may hold or get now.

        ``spent`` are the units spent in the window.
        """
        if spent < limit.total * PRESSING_PART:
            return inf
        bucket = self._bucket(workspace, limit, now)
        recent = bucket.recent.recent(PRESSING_SECONDS, now)
        if recent > limit.rate * PRESSING_RATE * PRESSING_SECONDS:
            bucket.paced_until = now + limit.window
        return bucket.level if now < bucket.paced_until else inf

    def _bucket(self, workspace: str, limit: Limit, now: float) -> TokenBucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(max(limit.burst, limit.rate), now)
            self._buckets[workspace] = bucket
        bucket.refill(limit, now)
        return bucket
