"""Tell all entries of a verdict at once, while this node is the home."""

from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.crash_messages import VerdictsMessage
from spanfall_node.gateway.link_sends import send_to_all
from spanfall_node.gateway.state import GatewayState


class VerdictLinks:
    """Hold the links of entries that hear verdicts."""

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
        """Tell each verdict as it is found, until cancelled."""
        crashes = self._state.crashes
        while True:
            changed = crashes.changed
            await changed.wait()
            if self._state.tenure is not None:
                now = self._state.timers.now()
                message = VerdictsMessage(crashes.verdicts(now))
                await send_to_all(list(self._links), message)
