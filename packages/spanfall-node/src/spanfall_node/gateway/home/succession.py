"""Hand the home over to an entry that reaches the store.

A home that is cut off from the store cannot renew its lease. Without a
handover no node may allocate units of limits until the lease has expired and
another node has found the free record, which takes three to four seconds.
Instead the home asks some of its entries whether they reach the store. The
first that does takes over the record at once, and the old home announces it to
all entries, including those that are cut off from the store themselves.
"""

import logging
from heapq import nlargest

import anyio
import msgspec
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.links.succession_messages import (
    ResignMessage,
    StoreQuestion,
    SuccessorMessage,
)
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure

logger = logging.getLogger(__name__)

#: Seconds between two checks whether this node is still the home.
CHECK_PERIOD = 0.05
#: Seconds between two rounds of messages while the store does not answer.
ROUND_PERIOD = 0.3
#: Entries that are contacted in a round, those with the strongest hosts first.
#: They are few, so that not all entries call the store at once, but enough
#: that one of them is likely to reach it.
ROUND_SIZE = 5


class Succession:
    """Find a successor among the entries of a home and announce it."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        #: Strength of the host of each linked entry, in cores.
        self._links: dict[ServerConnection, float] = {}
        self._has_links = anyio.Event()
        #: Entries contacted in the current handover, and the time of the last
        #: round.
        self._contacted: set[ServerConnection] = set()
        self._contacted_at = float('-inf')
        #: The epoch that was announced to the entries last.
        self._announced_epoch = 0

    def add(self, link: ServerConnection) -> None:
        """Add the link of an entry."""
        self._links[link] = 0
        self._has_links.set()

    def set_strength(
        self, link: ServerConnection | None, strength: float
    ) -> None:
        """Set the strength of the host of a linked entry."""
        if link is not None and link in self._links:
            self._links[link] = strength

    def remove(self, link: ServerConnection) -> None:
        """Remove the closed link of an entry."""
        self._links.pop(link, None)
        self._contacted.discard(link)

    async def run(self) -> None:
        """Send succession messages to entries until cancelled."""
        while True:
            await self._has_links.wait()
            await anyio.sleep(CHECK_PERIOD)
            await self._notify(self._state.tenure)
            if not self._links:
                self._has_links = anyio.Event()

    def hand_over(self, epoch: int) -> ResignMessage | None:
        """Resign in favour of an entry; return the message to send it."""
        tenure = self._state.tenure
        if tenure is None or tenure.epoch != epoch:
            return None
        if not tenure.is_cut or tenure.resigned:
            return None
        logger.warning(
            'This node hands the home over to an entry: it cannot reach the '
            'store',
        )
        tenure.resign()
        self._begin_round()
        return ResignMessage(epoch)

    async def _notify(self, tenure: Tenure | None) -> None:
        if tenure is None:
            await self._announce_successor()
        elif tenure.resigned:
            await self._notify_next_round(ResignMessage(tenure.epoch))
        elif tenure.is_cut:
            await self._notify_next_round(StoreQuestion(tenure.epoch))
        else:
            self._contacted.clear()
            await self._announce_epoch(tenure.epoch)

    async def _announce_epoch(self, epoch: int) -> None:
        """Announce to the entries that this node continues in a new epoch."""
        announced = self._announced_epoch
        self._announced_epoch = epoch
        if announced and announced != epoch:
            await send_to_all(
                list(self._links),
                SuccessorMessage(self._state.home),
            )

    async def _announce_successor(self) -> None:
        home = self._state.home
        if home is not None:
            links = list(self._links)
            self._links.clear()
            await send_to_all(links, SuccessorMessage(home))

    async def _notify_next_round(self, message: msgspec.Struct) -> None:
        """Contact the strongest entries not yet contacted, once per round."""
        now = self._state.timers.now()
        if now - self._contacted_at < ROUND_PERIOD:
            return
        if self._contacted.issuperset(self._links):
            self._contacted.clear()
        others = self._links.keys() - self._contacted
        chosen = nlargest(ROUND_SIZE, others, key=self._links.__getitem__)
        self._contacted.update(chosen)
        self._contacted_at = now
        await send_to_all(chosen, message)

    def _begin_round(self) -> None:
        """Start a round, giving the entry told first time to act."""
        self._contacted_at = self._state.timers.now()
        self._contacted.clear()
