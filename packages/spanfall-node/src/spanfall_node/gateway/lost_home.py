"""Find the next home after the last one was lost."""

from random import uniform

import anyio

from spanfall_node.gateway.home_pace import SMALL_HOST_SECONDS, is_small
from spanfall_node.gateway.state import GatewayState
from spanfall_node.gateway.succession_messages import HomeRecord
from spanfall_node.gateway.sync import Sync

#: Seconds between two attempts to reach the last home without the store.
LAST_HOME_PERIOD = 1.0
#: Seconds over which entries that find the home's process ended look for a
#: record of another.
SPREAD_SECONDS = 0.2


class LostHome:
    """Hold the last home that answered."""

    def __init__(self, state: GatewayState, sync: Sync) -> None:
        """Use the tables of the node, and its way to the store."""
        self.last: HomeRecord | None = None
        self._state = state
        self._sync = sync
        self._tried_at = float('-inf')

    def try_again(self) -> None:
        """Ask the last home for the next one, while the store is away.

        It may be back, or know its successor; nobody else is known here.
        """
        now = self._state.timers.now()
        is_due = now - self._tried_at >= LAST_HOME_PERIOD
        if self.last is not None and is_due and not self._sync.hears_store:
            self._tried_at = now
            self._state.follow_home(self.last, now)

    async def note_ended(self, home: HomeRecord) -> None:
        """Note that nothing listens where a home was: its process is over.

        All entries find this at the same moment: the first takes over, and
        the others see its record. Small hosts leave it to larger ones.
        """
        least = SMALL_HOST_SECONDS if is_small(self._state.cfg.host) else 0
        await anyio.sleep(uniform(least, least + SPREAD_SECONDS))
        if self._state.home is None:
            self._state.note_over(home.epoch, is_certain=False)
