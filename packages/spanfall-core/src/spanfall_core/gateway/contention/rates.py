"""Measure a rate as a decaying average."""

from dataclasses import dataclass
from math import exp

#: Time constant of the average, in seconds: shorter than a burst of load,
#: longer than the gaps between the requests of a busy workspace.
AVERAGING_SECONDS = 1.0


@dataclass(slots=True)
class DecayingRate:
    """Average the units that arrive per second."""

    _total: float = 0
    _at: float = 0

    def add(self, units: float, now: float) -> None:
        """Count units that arrive now."""
        self._total = self._decayed(now) + units
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average rate in units per second."""
        return self._decayed(now) / AVERAGING_SECONDS

    def _decayed(self, now: float) -> float:
        passed = max(0, now - self._at)
        return self._total * exp(-passed / AVERAGING_SECONDS)
