"""Track how much the host of each upstream slows its work, as stated by it.

A host that others use as well changes its speed many times per second, so the
newest statement tells about the next few hundred milliseconds. Later work
meets the mean of what the upstream has stated.
"""

from dataclasses import dataclass
from math import exp, inf, isfinite

#: Bounds of each stated and each learned factor. A single invalid figure must
#: neither empty an upstream nor draw all requests to it.
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
#: Time constant in seconds with which the newest statement loses its weight to
#: the mean: the hosts change several times per second.
FADE_SECONDS = 0.2
#: Time constant in seconds of the mean: longer than most requests run.
MEAN_SECONDS = 3.0
#: Maximum weight of one statement in the mean, so that one after a silence
#: does not replace it.
MAX_STATEMENT_WEIGHT = 0.1
#: Half-life in seconds of the mean's distance from 1 while nothing is stated.
#: An upstream that gets no requests states nothing, and has to be tried again.
SILENCE_HALF_LIFE = 5.0


def clamp_factor(factor: float) -> float:
    """Return a factor within its bounds, or 1 if it is no positive number."""
    if not isfinite(factor) or factor <= 0:
        return 1
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))


@dataclass(slots=True)
class StatedSlowdown:
    """Hold the newest slowdown that an upstream stated, and their mean."""

    newest: float = 1
    mean: float = 1
    stated_at: float = -inf

    def record(self, slowdown: float, stated_at: float) -> bool:
        """Record a statement unless it is older than the newest one."""
        passed = stated_at - self.stated_at
        if passed < 0:
            return False
        self.newest = clamp_factor(slowdown)
        weight = min(MAX_STATEMENT_WEIGHT, 1 - exp(-passed / MEAN_SECONDS))
        self.mean += weight * (self.newest - self.mean)
        self.stated_at = stated_at
        return True

    def long_run(self, now: float) -> float:
        """Return the slowdown expected for work in the next seconds."""
        silence = max(0, now - self.stated_at)
        fade = float(0.5 ** (silence / SILENCE_HALF_LIFE))
        return 1 + (self.mean - 1) * fade

    def at(self, now: float) -> float:
        """Return the slowdown expected for work that starts now."""
        mean = self.long_run(now)
        age = max(0, now - self.stated_at)
        return mean + (self.newest - mean) * exp(-age / FADE_SECONDS)

    def during(self, seconds: float, now: float) -> float:
        """Return the mean slowdown of work that took so long and ends now."""
        if seconds <= 0:
            return self.at(now)
        periods = seconds / FADE_SECONDS
        mean = self.long_run(now)
        return mean + (self.at(now) - mean) * (1 - exp(-periods)) / periods
