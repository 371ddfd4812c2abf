"""Answer lookups of streams' origins that need a read of the store."""

import anyio
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.links.origin_messages import (
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.stream_lookup import (
    answer_as_home,
    answer_question,
    merge_origins,
)


class OriginLookups:
    """Hold the lookups that wait for a read of the store."""

    def __init__(self, state: GatewayState, reads: FreshReads) -> None:
        """Use the state of the node, and reads of the store."""
        self._state = state
        self._reads = reads
        self._waiting: list[tuple[OriginQuestion, ServerConnection]] = []
        self._has_waiting = anyio.Event()

    def merge(self, message: OriginsMessage) -> None:
        """Record what another node knows.

        Raises:
            ValueError: the message is invalid.
        """
        merge_origins(self._state, message)

    def answer(
        self, question: OriginQuestion, link: ServerConnection | None
    ) -> bytes | None:
        """Return what this node has on record.

        If that is nothing, the home looks further and answers later.
        """
        answer = answer_question(self._state, question)
        is_home = self._state.tenure is not None
        if answer.origin is not None or link is None or not is_home:
            return encode(answer)
        self._waiting.append((question, link))
        self._has_waiting.set()
        return None

    async def run(self) -> None:
        """Answer the lookups that wait, until cancelled."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting = anyio.Event()
            waiting = self._waiting
            self._waiting = []
            asked_at = self._state.timers.now()
            for question, link in waiting:
                answer = await answer_as_home(
                    self._state, self._reads, question, asked_at
                )
                await send_to_all((link,), answer)
