"""Close new connections unread while the node is overloaded."""

import logging

import anyio
from spanfall_core.gateway.limits.intake import SAMPLE_PERIOD, Intake

from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


class IntakeGate:
    """Measure the load of the node and decide which connections it takes."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        self._intake = Intake()
        self._closed = 0
        state.counters.loop_delay.set_function(
            lambda: self._intake.standing_delay
        )

    def takes(self) -> bool:
        """Return whether to take a connection that was just accepted."""
        if self._intake.takes(self._state.timers.now()):
            return True
        self._closed += 1
        self._state.counters.connections.closed_unread.inc()
        return False

    async def run(self) -> None:
        """Sample the delay of the event loop until cancelled."""
        timers = self._state.timers
        while True:
            due = timers.now() + SAMPLE_PERIOD
            await anyio.sleep(SAMPLE_PERIOD)
            now = timers.now()
            was_limited = self._intake.rate is not None
            is_home = self._state.tenure is not None
            self._intake.sample(max(0, now - due), now, is_home=is_home)
            self._log_change(was_limited=was_limited)

    def _log_change(self, *, was_limited: bool) -> None:
        rate = self._intake.rate
        if rate is not None and not was_limited:
            logger.warning(
                'The event loop runs %.3f s late: taking %.0f new connections '
                'per second',
                self._intake.standing_delay,
                rate,
            )
        elif rate is None and was_limited:
            logger.info(
                'Taking all new connections again; %s were closed unread',
                self._closed,
            )
            self._closed = 0
