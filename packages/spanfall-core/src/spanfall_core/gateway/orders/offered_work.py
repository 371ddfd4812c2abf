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

#: Seconds that one measurement stands for at most: it is a snapshot.
MAX_SAMPLE_SECONDS = 0.5
#: Prior of the relative error of a forecast.
PRIOR_ERROR = 0.15
#: Minimum error that is assumed: the estimate of the work is no more exact.
MIN_ERROR = 0.1
#: Time constant, in seconds, over which errors are averaged: several boot
#: times, so that one of them does not decide.
ERROR_AVERAGE_SECONDS = 30.0
#: Maximum relative growth that is expected, and maximum error that counts: a
#: burst is met by waiting and by refusals, not by upstreams that stand idle
#: until the next one.
MAX_GROWTH = 0.3
MAX_ERROR = 0.5
#: Normal distribution as three points: distances from the mean in standard
#: deviations, with weights.
OUTER_POINT = sqrt(3)
SPREAD_POINTS = ((-OUTER_POINT, 1 / 6), (0.0, 2 / 3), (OUTER_POINT, 1 / 6))


#: Maximum fraction of rejected requests that counts as work not done: those
#: that come back are counted again.
MAX_REJECTED_FRACTION = 0.5


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
) -> float:
    """Return the engines that a load keeps busy.

    Requests beyond the slots of the ``present`` engines are a backlog.
    """
    decoding = min(load.running / engine.slots, present)
    return decoding + load.prefill_rate / speed.rate


def offered_prefill_rate(
    prefill_rate: float, request_rate: float, rejected_rate: float
) -> float:
    """Return the prefill work that callers offer, in tokens per second.

    ``prefill_rate`` is the work sent, ``request_rate`` that of all requests.
    The prompts of the rejected ones were not read; the work of the others
    stands for them, or a service that rejects seems to need less than it has.
    """
    if not request_rate:
        return prefill_rate
    fraction = min(MAX_REJECTED_FRACTION, rejected_rate / request_rate)
    return prefill_rate / (1 - fraction)


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


@dataclass(frozen=True, slots=True)
class PastForecast:
    """Hold the work at some time and what was expected after a boot time."""

    at: float
    level: float
    expected: float


@dataclass(slots=True)
class WorkForecast:
    """Forecast the offered work for the time at which an order takes effect."""

    #: Work at present and after a boot time.
    level: float = 0
    expected: float = 0
    _weight: float = 0
    _observed_since: float | None = None
    _updated_at: float | None = None
    #: Forecasts of the last boot time, oldest first.
    _past: deque[PastForecast] = field(default_factory=deque)
    _square_error: float = PRIOR_ERROR * PRIOR_ERROR

    @property
    def error(self) -> float:
        """Return the relative error to be expected of a forecast."""
        return max(MIN_ERROR, sqrt(self._square_error))

    @property
    def is_growing(self) -> bool:
        """Return whether the work grows by more than an estimate varies."""
        return self.expected > self.level * (1 + MIN_ERROR / 2)

    def is_observed(self, seconds: float, now: float) -> bool:
        """Return whether the work was measured for some time."""
        since = self._observed_since
        return since is not None and now - since >= seconds

    def restore(self, level: float, now: float) -> None:
        """Continue with the work that the previous home reported."""
        self.level = level
        self.expected = level
        self._weight = 1
        self._updated_at = now

    def record(self, busy: float, boot_seconds: float, now: float) -> None:
        """Add a measurement of the offered work.

        The first measurements weigh more, so that the level does not have to
        rise from zero.
        """
        if self._observed_since is None:
            self._observed_since = now
        elapsed = MAX_SAMPLE_SECONDS
        if self._updated_at is not None:
            elapsed = min(elapsed, max(0, now - self._updated_at))
        weight = elapsed / LOAD_AVERAGE_SECONDS
        self._weight += weight * (1 - self._weight)
        if self._weight:
            self.level += weight / self._weight * (busy - self.level)
        self._updated_at = now
        while self._past and now - self._past[0].at > boot_seconds:
            self._record_error(self._past.popleft(), elapsed)
        self.expected = self.level * (1 + self._growth(boot_seconds, now))
        self._past.append(PastForecast(now, self.level, self.expected))

    def points(self, work: float) -> list[tuple[float, float]]:
        """Return the amounts that some work may really be, with weights."""
        return [
            (max(0, work * (1 + offset * self.error)), weight)
            for offset, weight in SPREAD_POINTS
        ]

    def _growth(self, boot_seconds: float, now: float) -> float:
        """Return the relative growth until an upstream ordered now serves.

        The level is as old as the average is long. A decline is not expected
        to last.
        """
        if not self._past or not self._past[0].level:
            return 0
        oldest = self._past[0]
        seconds = now - oldest.at
        if not seconds or seconds < boot_seconds / 2:
            return 0
        growth = (self.level / oldest.level - 1) / seconds
        ahead = boot_seconds + LOAD_AVERAGE_SECONDS
        return min(MAX_GROWTH, max(0, growth * ahead))

    def _record_error(self, past: PastForecast, elapsed: float) -> None:
        if not past.expected:
            return
        # Work below its forecast is late for nobody.
        error = min(MAX_ERROR, max(0, self.level / past.expected - 1))
        part = elapsed / ERROR_AVERAGE_SECONDS
        self._square_error += part * (error * error - self._square_error)
