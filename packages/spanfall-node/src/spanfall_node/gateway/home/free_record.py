"""Track for how long the home record has had no valid holder."""

from spanfall_node.gateway.home.home_pace import (
    SMALL_HOST_DELAY_SECONDS,
    is_small,
)
from spanfall_node.gateway.tables.state import GatewayState


class FreeRecord:
    """Decide when this node may claim a record without a valid holder."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        #: When this node first found the record without a valid holder.
        self._since: float | None = None

    def reset(self) -> None:
        """Record that the record has a holder."""
        self._since = None

    def may_claim(self) -> bool:
        """Tell whether larger hosts have had time to claim the record."""
        seconds = (
            SMALL_HOST_DELAY_SECONDS if is_small(self._state.cfg.host) else 0
        )
        return self.has_been_free_for(seconds)

    def has_been_free_for(self, seconds: float) -> bool:
        """Tell whether the record has been free for some seconds."""
        now = self._state.timers.now()
        if self._since is None:
            self._since = now
        return now - self._since >= seconds
