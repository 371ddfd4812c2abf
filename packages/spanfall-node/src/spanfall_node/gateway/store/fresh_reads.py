"""Read the store for those who need what holds now, not what held lately.

That something is missing from a listing proves nothing of the time since the
listing was read. All who ask meanwhile share the next read.
"""

import anyio

from spanfall_node.gateway.tables.state import GatewayState

#: Least seconds between the starts of two reads.
MIN_READ_PERIOD = 0.05
#: Seconds between two checks whether a read has confirmed what is known.
POLL_SECONDS = 0.005


class FreshReads:
    """Let requests ask for a read of the store, and wait for it."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        self._wanted = anyio.Event()

    async def confirmed_since(self, began_at: float, seconds: float) -> bool:
        """Return whether all that is known was confirmed after a time.

        Asks for a read unless it was, by this node or its home, and waits for
        some seconds at most.
        """
        if not self._is_confirmed(began_at):
            self._wanted.set()
        with anyio.move_on_after(seconds):
            while not self._is_confirmed(began_at):
                await anyio.sleep(POLL_SECONDS)
        return self._is_confirmed(began_at)

    def take(self) -> bool:
        """Return whether a read is wanted; one that starts now serves all."""
        is_wanted = self._wanted.is_set()
        if is_wanted:
            self._wanted = anyio.Event()
        return is_wanted

    async def pause(self, seconds: float) -> None:
        """Wait for some seconds, or until a read is wanted and due."""
        with anyio.move_on_after(seconds):
            await anyio.sleep(MIN_READ_PERIOD)
            await self._wanted.wait()

    def _is_confirmed(self, began_at: float) -> bool:
        state = self._state
        confirmed_at = min(
            state.freshness.confirmed_at, state.directory.confirmed_at
        )
        return confirmed_at >= began_at
