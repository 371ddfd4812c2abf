"""Hand the home over to a node that reaches the store, while entries listen.

A home that is cut off from the store cannot renew its record, and nobody may
give units of limits until the record has ended and another node has found
that: three to four seconds. Instead it asks some of its entries whether they
reach the store; the first that does takes the record over at once, and all
entries learn of it from the home before, also those that are cut off too.
"""

import logging
from random import sample

import anyio
import msgspec
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.messages import (
    encode,
)
from spanfall_node.gateway.state import GatewayState
from spanfall_node.gateway.succession_messages import (
    ResignMessage,
    StoreQuestion,
    SuccessorMessage,
)
from spanfall_node.gateway.tenure import Tenure

logger = logging.getLogger(__name__)

#: Seconds between two looks at whether this node still is the home.
LOOK_PERIOD = 0.05
#: Seconds between two rounds of questions while the store does not answer.
ASK_PERIOD = 0.3
#: Entries that are asked in a round, or told first: a few, so that they do
#: not all call the store, and enough that one of them reaches it.
ASKED = 5


class Succession:
    """Tell the entries of a home who follows it."""

    def __init__(self, state: GatewayState) -> None:
        """Use the tables of the node."""
        self._state = state
        self._links: set[ServerConnection] = set()
        self._has_links = anyio.Event()
        self._asked_at = float('-inf')
        #: Epoch whose end some entries were told.
        self._told = 0

    def add(self, link: ServerConnection) -> None:
        """Note an entry that listens."""
        self._links.add(link)
        self._has_links.set()

    def remove(self, link: ServerConnection) -> None:
        """Note that an entry's link has ended."""
        self._links.discard(link)

    async def run(self) -> None:
        """Tell entries what they have to know, until cancelled."""
        while True:
            await self._has_links.wait()
            await anyio.sleep(LOOK_PERIOD)
            await self._tell(self._state.tenure)
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
        self._told = epoch
        tenure.resign()
        return ResignMessage(epoch)

    async def _tell(self, tenure: Tenure | None) -> None:
        if tenure is None:
            await self._tell_successor()
        elif tenure.resigned:
            await self._tell_vacant(tenure.epoch)
        elif tenure.is_cut:
            await self._ask(tenure.epoch)

    async def _tell_successor(self) -> None:
        home = self._state.home
        if home is not None:
            links = list(self._links)
            self._links.clear()
            await self._send(links, SuccessorMessage(home))

    async def _tell_vacant(self, epoch: int) -> None:
        if self._told != epoch:
            self._told = epoch
            await self._send(self._some(), ResignMessage(epoch))

    async def _ask(self, epoch: int) -> None:
        now = self._state.timers.now()
        if now - self._asked_at >= ASK_PERIOD:
            self._asked_at = now
            await self._send(self._some(), StoreQuestion(epoch))

    def _some(self) -> list[ServerConnection]:
        return sample(list(self._links), min(ASKED, len(self._links)))

    async def _send(
        self,
        links: list[ServerConnection],
        message: msgspec.Struct,
    ) -> None:
        """Send a message over links, none of which holds up another."""
        encoded = encode(message)
        async with anyio.create_task_group() as tasks:
            for link in links:
                tasks.start_soon(_send_one, link, encoded)


async def _send_one(link: ServerConnection, encoded: bytes) -> None:
    try:
        with anyio.fail_after(ASK_PERIOD):
            await link.send(encoded)
    except (OSError, TimeoutError, WebSocketException) as exc:
        logger.info('Could not tell an entry: %r', exc)
