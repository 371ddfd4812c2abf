"""Hand the home over to a node that reaches the store, while entries listen.

A home that is cut off from the store cannot renew its record, and nobody may
give units of limits until the record has ended and another node has found
that: three to four seconds. Instead it asks some of its entries whether they
reach the store; the first that does takes the record over at once, and all
entries learn of it from the home before, also those that are cut off too.
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

#: Seconds between two looks at whether this node still is the home.
CHECK_PERIOD = 0.05
#: Seconds between two rounds of questions while the store does not answer.
ROUND_PERIOD = 0.3
#: Entries that are asked or told in a round, those first whose hosts bear the
#: home best: a few, so that they do not all call the store, and enough that
#: one of them reaches it.
ROUND_SIZE = 5


class Succession:
    """Tell the entries of a home who follows it."""

    def __init__(self, state: GatewayState) -> None:
        """Use the tables of the node."""
        self._state = state
        #: How well the host of each entry that listens could bear the home.
        self._links: dict[ServerConnection, float] = {}
        self._has_links = anyio.Event()
        #: Entries that were asked or told in this matter, and when last.
        self._contacted: set[ServerConnection] = set()
        self._contacted_at = float('-inf')
        #: The epoch that the entries know.
        self._announced_epoch = 0

    def add(self, link: ServerConnection) -> None:
        """Note an entry that listens."""
        self._links[link] = 0
        self._has_links.set()

    def set_strength(
        self, link: ServerConnection | None, strength: float
    ) -> None:
        """Note how well the host of an entry that listens bears the home."""
        if link is not None and link in self._links:
            self._links[link] = strength

    def remove(self, link: ServerConnection) -> None:
        """Note that an entry's link has ended."""
        self._links.pop(link, None)
        self._contacted.discard(link)

    async def run(self) -> None:
        """Tell entries what they have to know, until cancelled."""
        while True:
            await self._has_links.wait()
            await anyio.sleep(CHECK_PERIOD)
            await self._notify(self._state.tenure)
            if not self._links:
                self._has_links = anyio.Event()

    def hand_over(self, epoch: int) -> ResignMessage | None:
        """Act no more, since an entry can take over; return what to tell it."""
        tenure = self._state.tenure
        if tenure is None or tenure.epoch != epoch:
            return None
        if not tenure.is_cut or tenure.resigned:
            return None
        logger.warning('This node hands the home over: the store is away')
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
        """Tell the entries that this node goes on under another epoch."""
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
        """Ask or tell the strongest entries that were not yet, in rounds."""
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
        """Let whoever was told first act before others are told too."""
        self._contacted_at = self._state.timers.now()
        self._contacted.clear()
