"""Request units from the home when this entry holds too few for a request.

An entry holds a small share of each limit, and most unspent units are in the
home's pool. A request larger than the local share borrows from that pool, so
that no entry has to spend units that it does not hold.
"""

from dataclasses import dataclass, field

from spanfall_node.gateway.links.pending_requests import PendingRequests, Send
from spanfall_node.gateway.links.unit_messages import (
    UnitsMessage,
    UnitsRequest,
)
from spanfall_node.gateway.tables.state import GatewayState

#: Timeout for the home's answer in seconds: half of the maximum admission wait
#: of a request, and several network delays between regions.
UNITS_TIMEOUT_SECONDS = 0.06

#: Outcomes of a unit request, used as metric labels.
LENT = 'lent'
NONE_LEFT = 'none-left'
UNANSWERED = 'unanswered'


@dataclass(slots=True)
class UnitClient:
    """Request units over the entry's link to the home."""

    state: GatewayState
    _pending: PendingRequests[float] = field(default_factory=PendingRequests)

    def connect(self, send: Send) -> None:
        """Send requests over this link from now on."""
        self._pending.connect(send)

    def disconnect(self) -> None:
        """End pending requests and send none until another link connects."""
        self._pending.disconnect()

    def accept_answer(self, message: UnitsMessage) -> None:
        """Record the units that the home lent.

        They are counted on arrival, in order with the home's tables, even if
        no request waits any more: the home counts them as held by this entry
        from then on.
        """
        state = self.state
        now = state.timers.now()
        state.quotas.apply_lent(message.workspace, message.units, now)
        self._pending.resolve(message.number, message.units)

    async def obtain(self, workspace: str, units: float) -> bool:
        """Request the units that are missing; return whether the home lent any."""
        state = self.state
        now = state.timers.now()
        limit = state.limits_at(now).get(workspace)
        if limit is None:
            return False
        missing = state.quotas.missing(workspace, limit, units, now)
        if not missing:
            return False
        outcome = await self._request_units(workspace, missing)
        state.counters.unit_requests.labels(outcome).inc()
        return outcome == LENT

    async def _request_units(self, workspace: str, missing: float) -> str:
        """Request units from the home, which may be this node."""
        state = self.state
        if state.tenure is not None:
            now = state.timers.now()
            lent = state.lend_units(state.entry_key, workspace, missing, now)
            state.quotas.apply_lent(workspace, lent, now)
            return LENT if lent else NONE_LEFT
        question = await self._pending.ask(
            lambda number: UnitsRequest(
                state.entry_key,
                number,
                workspace,
                missing,
            ),
            UNITS_TIMEOUT_SECONDS,
        )
        if not question.is_answered:
            return UNANSWERED
        return LENT if question.answer else NONE_LEFT
