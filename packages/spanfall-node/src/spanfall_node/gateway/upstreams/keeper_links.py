"""Reach the nodes that keep copies of streams' origins while no home does."""

import logging
from dataclasses import dataclass, field

import anyio
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.links.messages import decode_from_home, encode
from spanfall_node.gateway.links.origin_messages import (
    OriginAnswer,
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.net.open_links import open_link
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Timeout in seconds for the answer of a node.
ANSWER_TIMEOUT_SECONDS = 0.15
#: Timeout in seconds for a message, which delays the first event of a stream.
TELL_TIMEOUT_SECONDS = 0.05
#: Nodes that are told of a stream, and seconds for which one that failed is
#: told nothing.
MAX_TOLD = 2
PAUSE_SECONDS = 1.0
#: Exceptions of a message to a node that is gone or of another build.
LINK_ERRORS = (OSError, TimeoutError, ValueError, WebSocketException)


@dataclass(slots=True)
class KeeperLinks:
    """Hold links to other nodes while this one has no home."""

    state: GatewayState
    _links: dict[str, ClientConnection] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.transport.abort()
        self._links.clear()
        self._paused_until.clear()

    async def tell(self, message: OriginsMessage) -> None:
        """Tell some nodes what began a stream."""
        now = self.state.timers.now()
        others = [
            address
            for address in self._others()
            if self._paused_until.get(address, now) <= now
        ]
        async with anyio.create_task_group() as tasks:
            for address in others[:MAX_TOLD]:
                tasks.start_soon(self._tell_node, address, message)

    async def ask(
        self, question: OriginQuestion, known: OriginAnswer
    ) -> OriginAnswer:
        """Return what began a stream, if a node knows, or who was granted it.

        A grant may not have begun the stream, so one that is ``known`` or that
        some nodes hold counts only if none knows where the stream began.
        """
        found = [known]
        async with anyio.create_task_group() as tasks:

            async def ask(address: str) -> None:
                answer = await _ask_node(address, question)
                if answer is None or answer.origin is None:
                    return
                found.append(answer)
                if answer.is_begun:
                    tasks.cancel_scope.cancel()

            for address in self._others():
                tasks.start_soon(ask, address)
        return max(found, key=_certainty)

    def _others(self) -> list[str]:
        own = self.state.cfg.listen.links
        keepers = self.state.streams.keepers
        return [address for address in keepers if address != own]

    async def _tell_node(self, address: str, message: OriginsMessage) -> None:
        try:
            with anyio.fail_after(TELL_TIMEOUT_SECONDS):
                link = self._links.get(address)
                if link is None:
                    link = await open_link(address)
                    self._links[address] = link
                await link.send(encode(message))
        except LINK_ERRORS as exc:
            logger.info(
                'Could not tell %s what began a stream: %r', address, exc
            )
            lost = self._links.pop(address, None)
            if lost is not None:
                lost.transport.abort()
            now = self.state.timers.now()
            self._paused_until[address] = now + PAUSE_SECONDS


def _certainty(answer: OriginAnswer) -> tuple[bool, bool]:
    return answer.is_begun, answer.origin is not None


async def _ask_node(
    address: str, question: OriginQuestion
) -> OriginAnswer | None:
    """Ask one node over a connection of its own."""
    try:
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            async with await open_link(address) as link:
                await link.send(encode(question))
                answer = decode_from_home(await link.recv())
    except LINK_ERRORS as exc:
        logger.info(
            'Node %s did not tell what began a stream: %r', address, exc
        )
        return None
    return answer if isinstance(answer, OriginAnswer) else None
