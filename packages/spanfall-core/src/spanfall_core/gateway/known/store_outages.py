"""Track when the store last came back from an outage.

Entries of upstreams lapse only while the store is away for all. That the calls
of one node fail does not show this: it may be cut off or turned away alone.
Answers to any other node, of which the home tells, show that the store was
there. All times are of the steady clock, in seconds.
"""

from dataclasses import dataclass
from math import isinf

NEVER = float('-inf')
#: Heartbeats of upstreams without the store from which on entries may lapse.
#: Platforms remove an entry after three heartbeats of silence, the first of
#: which may precede the outage.
LAPSE_HEARTBEATS = 2


@dataclass(slots=True)
class StoreOutages:
    """Hold what is known of the store's answers and of the last outage."""

    #: Interval at which each upstream rewrites its entry.
    heartbeat_seconds: float
    #: Latest time at which the store is known to have answered some node.
    answered_at: float = NEVER
    #: When a call of this node last failed.
    failed_at: float = NEVER
    #: When the store answered again after its last outage or restore.
    ended_at: float = NEVER

    def record_failure(self, now: float) -> None:
        """Record that a call of this node was not answered."""
        self.failed_at = now

    def record_answer(self, answered_at: float) -> None:
        """Record an answer to any node; earlier ones have no effect."""
        if answered_at <= self.answered_at:
            return
        if self._is_outage_until(answered_at):
            self.ended_at = answered_at
        self.answered_at = answered_at

    def record_restore(self, now: float) -> None:
        """Record a restore: lost entries are written again as after an outage."""
        self.ended_at = now

    def is_failing(self, now: float, memory_seconds: float) -> bool:
        """Return whether the store does not answer this node, as far as known.

        A failure counts until the store answers any node, and no longer than
        ``memory_seconds``: who makes no call does not know.
        """
        is_latest = self.failed_at > self.answered_at
        return is_latest and now - self.failed_at < memory_seconds

    def _is_outage_until(self, answered_at: float) -> bool:
        """Return whether entries may have lapsed since the last answer."""
        if isinf(self.answered_at):
            return False
        if not self.answered_at < self.failed_at <= answered_at:
            return False
        silence = answered_at - self.answered_at
        return silence >= LAPSE_HEARTBEATS * self.heartbeat_seconds
