"""Answer lookups of streams' origins that need a read of the store."""

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class WaitingLookup:
    """Hold a question of an entry, and when its caller came at the latest."""

    question: OriginQuestion
    link: ServerConnection
    asked_at: float


class OriginLookups:
    """Hold the lookups that wait for a read of the store."""

    def __init__(self, state: GatewayState, reads: FreshReads) -> None:
        """Use the state of the node, and reads of the store."""
        self._state = state
        self._reads = reads
        self._waiting: list[WaitingLookup] = []
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
        asked_at = self._state.timers.now() - question.waited
        self._waiting.append(WaitingLookup(question, link, asked_at))
        self._has_waiting.set()
        return None

    async def run(self) -> None:
        """Answer the lookups that wait, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._has_waiting.wait()
                self._has_waiting = anyio.Event()
                for lookup in self._waiting:
                    tasks.start_soon(self._answer_later, lookup)
                self._waiting = []

    async def _answer_later(self, lookup: WaitingLookup) -> None:
        answer = await answer_as_home(
            self._state, self._reads, lookup.question, lookup.asked_at
        )
        await send_to_all((lookup.link,), answer)
