"""Ask the home for the units that a request lacks at this entry.

An entry holds a small part of each limit, and most of what is left lies in
the pool of the home: a request larger than what is held here is served from
there, so that no entry has to spend what it does not hold.
"""

from dataclasses import dataclass, field

from spanfall_node.gateway.links.messages import UnitsMessage, UnitsRequest
from spanfall_node.gateway.links.questions import Questions, Send
from spanfall_node.gateway.tables.state import GatewayState

#: Seconds for the home's answer: half of what a request waits at most to be
#: admitted, and several ways between regions.
UNITS_SECONDS = 0.06

#: Outcomes of a question, as counted.
LENT = 'lent'
NONE_LEFT = 'none-left'
UNANSWERED = 'unanswered'


@dataclass(slots=True)
class UnitRequests:
    """Ask over the link that the entry holds to the home."""

    state: GatewayState
    _questions: Questions[float] = field(default_factory=Questions)

    def connect(self, send: Send) -> None:
        """Ask over this link from now on."""
        self._questions.connect(send)

    def disconnect(self) -> None:
        """Ask nobody until there is another link."""
        self._questions.disconnect()

    def learn(self, message: UnitsMessage) -> None:
        """Take what the home gave.

        It is counted as it arrives, in the order of the tables: the home
        counts it as held from then on, whether a request still waits or not.
        """
        state = self.state
        now = state.timers.now()
        state.quotas.apply_lent(message.workspace, message.units, now)
        self._questions.learn(message.number, message.units)

    async def obtain(self, workspace: str, units: float) -> bool:
        """Ask for what a request lacks; tell whether the home gave it."""
        state = self.state
        now = state.timers.now()
        limit = state.limits_at(now).get(workspace)
        if limit is None:
            return False
        missing = state.quotas.missing(workspace, limit, units, now)
        if not missing:
            return False
        outcome = await self._ask(workspace, missing)
        state.counters.unit_requests.labels(outcome).inc()
        return outcome == LENT

    async def _ask(self, workspace: str, missing: float) -> str:
        """Ask the home, which may be this node; return the outcome."""
        state = self.state
        if state.tenure is not None:
            now = state.timers.now()
            lent = state.lend_units(state.entry_key, workspace, missing, now)
            state.quotas.apply_lent(workspace, lent, now)
            return LENT if lent else NONE_LEFT
        question = await self._questions.ask(
            lambda number: UnitsRequest(
                state.entry_key,
                number,
                workspace,
                missing,
            ),
            UNITS_SECONDS,
        )
        if not question.is_answered:
            return UNANSWERED
        return LENT if question.answer else NONE_LEFT
