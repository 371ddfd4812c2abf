"""Track how long calls without a prompt usually take, by route."""

from dataclasses import dataclass, field

#: Weight of one call in the mean, once there were as many as its inverse.
CALL_WEIGHT = 0.02
#: Maximum ratio of a counted duration to the mean, so that one call to an
#: unresponsive upstream does not distort it.
MAX_DURATION_RATIO = 3.0
#: Maximum number of routes kept; the one added first goes first.
MAX_ROUTES = 4096


@dataclass(slots=True)
class MeanDuration:
    """Hold the mean duration of the calls of one route, in seconds."""

    seconds: float = 0
    calls: int = 0

    def add(self, seconds: float) -> None:
        """Add the duration of one call."""
        self.calls += 1
        if self.calls > 1:
            seconds = min(seconds, self.seconds * MAX_DURATION_RATIO)
        weight = max(CALL_WEIGHT, 1 / self.calls)
        self.seconds += weight * (seconds - self.seconds)


@dataclass(slots=True)
class CallDurations:
    """Hold the mean duration of the calls of each route."""

    _means: dict[str, MeanDuration] = field(default_factory=dict)

    def add(self, route: str, seconds: float) -> float:
        """Add the duration of one call; return the mean, in seconds."""
        mean = self._means.setdefault(route, MeanDuration())
        if len(self._means) > MAX_ROUTES:
            self._means.pop(next(iter(self._means)))
        mean.add(seconds)
        return mean.seconds
