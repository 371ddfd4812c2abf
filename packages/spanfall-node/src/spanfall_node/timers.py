"""Provide the one timer service that all parts of a node subscribe to.

Only this module reads a clock. Callbacks are plain functions that get the
time, in seconds, and must return quickly.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

import anyio

logger = logging.getLogger(__name__)

Callback = Callable[[float], None]


@dataclass(order=True, slots=True)
class Subscription:
    """Hold one subscription; ``period`` is zero for a single call."""

    due: float
    order: int
    callback: Callback = field(compare=False)
    period: float = field(compare=False, default=0)
    active: bool = field(compare=False, default=True)

    def cancel(self) -> None:
        """Make sure that the callback is not called again."""
        self.active = False


class Timers:
    """Call subscribers when they are due."""

    def __init__(
        self,
        clock: Callable[[], float],
        epoch_clock: Callable[[], float],
    ) -> None:
        """Use the clocks as the only sources of time."""
        self._clock = clock
        self._epoch_clock = epoch_clock
        self._heap: list[Subscription] = []
        self._order = count()
        self._changed = anyio.Event()

    def now(self) -> float:
        """Return the time of the service in seconds."""
        return self._clock()

    def epoch(self) -> float:
        """Return the seconds since 1970, for what outlives a process."""
        return self._epoch_clock()

    def every(self, period: float, callback: Callback) -> Subscription:
        """Call back each period, the first time after one period."""
        return self._add(period, callback, period)

    def once(self, delay: float, callback: Callback) -> Subscription:
        """Call back once after a delay."""
        return self._add(delay, callback, 0)

    def fire_due(self) -> float | None:
        """Call what is due; return the seconds until the next call."""
        now = self.now()
        while self._heap and self._heap[0].due <= now:
            self._fire(heappop(self._heap), now)
        if not self._heap:
            return None
        return max(0, self._heap[0].due - self.now())

    async def run(self) -> None:
        """Serve subscribers until cancelled."""
        while True:
            self._changed = anyio.Event()
            delay = self.fire_due()
            with anyio.move_on_after(delay):
                await self._changed.wait()

    def _add(
        self,
        delay: float,
        callback: Callback,
        period: float,
    ) -> Subscription:
        due = self.now() + delay
        subscription = Subscription(due, next(self._order), callback, period)
        heappush(self._heap, subscription)
        self._changed.set()
        return subscription

    def _fire(self, subscription: Subscription, now: float) -> None:
        if not subscription.active:
            return
        if subscription.period:
            subscription.due = now + subscription.period
            heappush(self._heap, subscription)
        try:
            subscription.callback(now)
        except Exception:
            logger.exception(
                'A timer callback failed; report this with the traceback',
            )
