"""Follow the work that callers offer to a service, and how it changes.

Work is stated in engines kept busy: seconds of engine time that arrive per
second. It counts what was asked for, not what waits, so that a backlog does not
look like lasting work.
"""

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.orders.demand import (
    LOAD_AVERAGE_SECONDS,
    OfferedLoad,
)

#: Prior of the relative change of the work within a boot time.
PRIOR_CHANGE = 0.15
#: Time constant, in seconds, over which changes are averaged: several boot
#: times, so that one of them does not decide.
CHANGE_AVERAGE_SECONDS = 30.0
#: Minimum change that is assumed: the estimate of the work is no more exact.
MIN_CHANGE = 0.1
#: Maximum change that counts: a burst is met by waiting and by refusals, not by
#: upstreams that stand idle until the next one.
MAX_CHANGE = 0.5
#: Nodes and weights of a normal distribution with three points.
SPREAD_POINTS = ((-sqrt(3), 1 / 6), (0.0, 2 / 3), (sqrt(3), 1 / 6))


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Describe the requests of a service as far as waiting depends on it."""

    #: Tightest latency target of the routes to the service, in seconds.
    target: float = 1.0
    #: Mean time to the first token without a queue, in seconds, and the part
    #: for which an engine is busy.
    first_token: float = 0
    busy: float = 0


def busy_engines(
    engine: EngineLimits,
    load: OfferedLoad,
    speed: PrefillSpeed,
    present: int,
    refused_fraction: float = 0,
) -> float:
    """Return the engines that a load keeps busy.

    Requests beyond the slots of the ``present`` engines are a backlog. The
    prompts of refused requests were not read, so that the work of the others
    stands for them.
    """
    decoding = min(load.running / engine.slots, present)
    reading = load.prefill_rate / speed.rate
    return decoding + reading / max(0.5, 1 - refused_fraction)


def request_times(
    target: float,
    prefill_rate: float,
    request_rate: float,
    speed: PrefillSpeed,
) -> RequestTimes:
    """Return the mean times of the requests that arrive now."""
    if not request_rate:
        return RequestTimes(target, speed.base, speed.base)
    reading = prefill_rate / request_rate / speed.rate
    return RequestTimes(target, speed.base + reading, reading)


@dataclass(slots=True)
class WorkForecast:
    """Average the offered work and how much it changes in a boot time."""

    level: float = 0
    _weight: float = 0
    _updated_at: float | None = None
    #: Levels of the last boot time, oldest first.
    _levels: deque[tuple[float, float]] = field(default_factory=deque)
    _square: float = PRIOR_CHANGE * PRIOR_CHANGE

    @property
    def change(self) -> float:
        """Return the relative change to be expected within a boot time."""
        return max(MIN_CHANGE, sqrt(self._square))

    def restore(self, level: float, now: float) -> None:
        """Continue with the level that the previous home reported."""
        self.level = level
        self._weight = 1
        self._updated_at = now

    def record(self, busy: float, boot_seconds: float, now: float) -> None:
        """Add a measurement of the offered work.

        The first measurements weigh more, so that the level does not have to
        rise from zero.
        """
        last = self._updated_at
        elapsed = LOAD_AVERAGE_SECONDS / 8 if last is None else now - last
        weight = min(1, max(0, elapsed) / LOAD_AVERAGE_SECONDS)
        self._weight += weight * (1 - self._weight)
        if self._weight:
            self.level += weight / self._weight * (busy - self.level)
        self._updated_at = now
        self._record_change(boot_seconds, max(0, elapsed), now)

    def points(self) -> list[tuple[float, float]]:
        """Return possible amounts of work after a boot time, with weights."""
        return [
            (max(0, self.level * (1 + offset * self.change)), weight)
            for offset, weight in SPREAD_POINTS
        ]

    def _record_change(
        self, boot_seconds: float, elapsed: float, now: float
    ) -> None:
        self._levels.append((now, self.level))
        while now - self._levels[0][0] > boot_seconds:
            _, before = self._levels.popleft()
            change = (
                min(MAX_CHANGE, abs(self.level / before - 1)) if before else 0
            )
            part = min(1, elapsed / CHANGE_AVERAGE_SECONDS)
            self._square += part * (change * change - self._square)
