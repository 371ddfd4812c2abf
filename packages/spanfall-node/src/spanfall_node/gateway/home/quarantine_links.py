"""Tell all entries of a quarantine at once, while this node is the home."""

from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.crash_messages import QuarantineMessage
from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.tables.state import GatewayState


class QuarantineLinks:
    """Hold the links of entries that hear of quarantines."""

    def __init__(self, state: GatewayState) -> None:
        """Use the tables of the node."""
        self._state = state
        self._links: set[ServerConnection] = set()

    def add(self, link: ServerConnection) -> None:
        """Note an entry that listens."""
        self._links.add(link)

    def remove(self, link: ServerConnection) -> None:
        """Note that an entry's link has ended."""
        self._links.discard(link)

    async def run(self) -> None:
        """Tell of each quarantine as it begins, until cancelled."""
        crashes = self._state.crashes
        changed = crashes.changed
        while True:
            await changed.wait()
            # Before the sends, during which another one may begin.
            changed = crashes.changed
            if self._state.tenure is not None:
                now = self._state.timers.now()
                message = QuarantineMessage(crashes.quarantined(now))
                await send_to_all(list(self._links), message)
