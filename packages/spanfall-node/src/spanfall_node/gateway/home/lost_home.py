"""Reconnect to the last home while the store is unavailable."""

from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.tables.state import GatewayState

#: Seconds between two attempts to reach the last home without the store.
LAST_HOME_RETRY_PERIOD = 1.0


class HomeReconnect:
    """Retry the last home that accepted a link."""

    def __init__(self, state: GatewayState, sync: Sync) -> None:
        """Use the state of the node and its sync with the store."""
        self.last_home: HomeRecord | None = None
        self._state = state
        self._sync = sync
        self._tried_at = float('-inf')

    def retry_last_home(self) -> None:
        """Link to the last home again while the store does not answer.

        It may be reachable again or name its successor; this node has no
        other address to try.
        """
        now = self._state.timers.now()
        is_due = now - self._tried_at >= LAST_HOME_RETRY_PERIOD
        if self.last_home is not None and is_due and not self._sync.hears_store:
            self._tried_at = now
            # No answer was received yet, so the lookup of another home goes
            # on.
            self._state.follow_home(self.last_home, float('-inf'))
