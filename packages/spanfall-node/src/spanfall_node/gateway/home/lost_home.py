"""Find the next home after the last one was lost."""

from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.tables.state import GatewayState

#: Seconds between two attempts to reach the last home without the store.
LAST_HOME_RETRY_PERIOD = 1.0


class HomeReconnect:
    """Hold the last home that answered."""

    def __init__(self, state: GatewayState, sync: Sync) -> None:
        """Use the tables of the node, and its way to the store."""
        self.last_home: HomeRecord | None = None
        self._state = state
        self._sync = sync
        self._tried_at = float('-inf')

    def retry_last_home(self) -> None:
        """Ask the last home for the next one, while the store is away.

        It may be back, or know its successor; nobody else is known here.
        """
        now = self._state.timers.now()
        is_due = now - self._tried_at >= LAST_HOME_RETRY_PERIOD
        if self.last_home is not None and is_due and not self._sync.hears_store:
            self._tried_at = now
            # Nothing was heard of it yet: the look for another goes on.
            self._state.follow_home(self.last_home, float('-inf'))
