"""Tell the true time on a host whose time of day may jump.

The steady clock plus a fixed offset is the true time. A jump of the time of
day changes the difference between the clocks at once and is not followed.
"""

from dataclasses import dataclass

#: Seconds by which the estimate of another node must differ from this
#: node's own to replace it.
CORRECTION_THRESHOLD_SECONDS = 0.5


@dataclass(slots=True)
class TrueTime:
    """Hold the offset from the steady clock to the seconds since 1970."""

    offset: float

    def at(self, now: float) -> float:
        """Return the seconds since 1970 at a steady time."""
        return now + self.offset

    def correct(self, true_time: float, now: float) -> bool:
        """Follow the fleet's estimate when it differs; tell whether it did."""
        if abs(self.at(now) - true_time) < CORRECTION_THRESHOLD_SECONDS:
            return False
        self.offset = true_time - now
        return True
