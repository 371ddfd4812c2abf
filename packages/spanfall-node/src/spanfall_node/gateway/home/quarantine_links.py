"""Broadcast quarantines and suspects to all entries, as the home."""

from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.crash_messages import CrashReport
from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.tables.state import GatewayState


class QuarantineLinks:
    """Hold the links of the entries that receive announcements."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        self._links: set[ServerConnection] = set()

    def add(self, link: ServerConnection) -> None:
        """Add the link of an entry."""
        self._links.add(link)

    def remove(self, link: ServerConnection) -> None:
        """Remove the closed link of an entry."""
        self._links.discard(link)

    async def run(self) -> None:
        """Send each change to all entries at once, until cancelled."""
        crashes = self._state.crashes
        changed = crashes.changed
        while True:
            await changed.wait()
            # Fetched before the sends, as another change may follow during
            # them.
            changed = crashes.changed
            if self._state.tenure is not None:
                now = self._state.timers.now()
                message = crashes.announcement(now)
                await send_to_all(list(self._links), message)

    def answer(self, report: CrashReport, now: float) -> bytes | None:
        """Apply a crash report; answer the first one with what is known."""
        crashes = self._state.crashes
        crashes.apply_report(report, now)
        if not report.is_first:
            return None
        return encode(crashes.announcement(now))
