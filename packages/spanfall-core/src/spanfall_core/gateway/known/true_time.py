"""Estimate the true time on a host whose wall clock may jump.

The true time is the steady clock plus a fixed offset. A jump of the wall clock
changes the difference between both clocks at once and is not followed.
"""

from dataclasses import dataclass

#: Minimum difference, in seconds, at which another node's estimate replaces
#: this node's own.
CORRECTION_THRESHOLD_SECONDS = 0.5


@dataclass(slots=True)
class TrueTime:
    """Store the offset between the steady clock and the seconds since 1970."""

    offset: float

    def at(self, now: float) -> float:
        """Return the seconds since 1970 at a time of the steady clock."""
        return now + self.offset

    def correct(self, true_time: float, now: float) -> bool:
        """Adopt the fleet's estimate if it differs; return whether it did."""
        if abs(self.at(now) - true_time) < CORRECTION_THRESHOLD_SECONDS:
            return False
        self.offset = true_time - now
        return True
