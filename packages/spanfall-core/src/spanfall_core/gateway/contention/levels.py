"""Share the turns of one urgency level among workspaces."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from spanfall_core.fair_queueing import charge_work, join_waiting
from spanfall_core.gateway.contention.backlog import Backlog
from spanfall_core.gateway.contention.incoming import (
    IncomingWork,
    Inflow,
    Source,
)
from spanfall_core.gateway.contention.rates import DecayingRate
from spanfall_core.gateway.contention.slack import Position, SlackOrder

#: Idle workspaces that a level keeps beyond the waiting ones.
MAX_IDLE_FLOWS = 256


@dataclass(slots=True)
class Flow:
    """Hold what one workspace has waiting at one level."""

    workspace: str
    weight: float
    virtual_time: float = 0
    #: Units of the waiting requests.
    units: float = 0
    order: SlackOrder = field(default_factory=SlackOrder)
    #: Units of new requests that could be on time.
    arrivals: DecayingRate = field(default_factory=DecayingRate)
    #: Sum of these units.
    arrived: float = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether a request of the workspace waits."""
        return bool(self.order.positions)


@dataclass(slots=True)
class Level:
    """Hold the requests of one urgency, by workspace."""

    virtual_time: float = 0
    #: Number of the turn in which a request of this level was served last.
    last_turn: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    flows: dict[str, Flow] = field(default_factory=dict)
    waiting: dict[str, Flow] = field(default_factory=dict)
    #: Units of new requests that could be on time.
    arrivals: DecayingRate = field(default_factory=DecayingRate)
    _incoming: IncomingWork = field(default_factory=IncomingWork)
    #: Highest virtual time that a workspace reached.
    _latest_virtual_time: float = 0
    #: Virtual times of the waiting workspaces; those that changed are stale.
    _tags: list[tuple[float, str]] = field(default_factory=list)

    def flow(self, workspace: str, weight: float) -> Flow:
        """Return the flow of a workspace; a new one has this weight."""
        flow = self.flows.get(workspace)
        if flow is None:
            self._forget_idle()
            flow = Flow(workspace, weight)
            self.flows[workspace] = flow
        return flow

    def set_weight(self, flow: Flow, weight: float) -> None:
        """Change the weight of a workspace."""
        if flow.is_waiting:
            self.backlog.exclude(flow.units, flow.weight)
            self.backlog.include(flow.units, weight)
        flow.weight = weight

    def add(self, flow: Flow, position: Position, units: float) -> None:
        """Let a request of the workspace wait."""
        if flow.is_waiting:
            self.backlog.exclude(flow.units, flow.weight)
        else:
            join_waiting(self, flow)
            self.waiting[flow.workspace] = flow
            self._tag(flow)
        flow.order.add(position, units)
        flow.units += units
        self.backlog.include(flow.units, flow.weight)

    def remove(self, flow: Flow, position: Position) -> None:
        """Let a request of the workspace wait no longer."""
        self.backlog.exclude(flow.units, flow.weight)
        flow.units -= flow.order.remove(position)
        if flow.is_waiting:
            self.backlog.include(flow.units, flow.weight)
            return
        flow.units = 0
        self.waiting.pop(flow.workspace)
        if not self.waiting:
            # A new busy period begins, in which all workspaces are equal.
            self._tags.clear()
            self.virtual_time = self._latest_virtual_time

    def charge(self, flow: Flow, units: float) -> None:
        """Charge the workspace for a waiting request that is served now."""
        charge_work(self, flow, units, flow.weight)
        self._latest_virtual_time = max(
            self._latest_virtual_time, flow.virtual_time
        )
        self._tag(flow)

    def refund(self, flow: Flow, units: float) -> None:
        """Take back the charge for a request that was not served after all."""
        flow.virtual_time -= units / flow.weight
        if flow.is_waiting:
            self._tag(flow)

    def served_beside(self, flow: Flow, progress: float) -> float:
        """Return the waiting work that is served of other workspaces.

        Each one, also this one, gets that much per weight meanwhile.
        """
        beside = self.backlog.served_beside(progress)
        return max(0, beside - min(flow.units, progress * flow.weight))

    def incoming_beside(
        self, flow: Flow, progress: float, now: float
    ) -> list[Inflow]:
        """Return what other workspaces bring meanwhile."""
        if self._incoming.is_due(now):
            sources = (
                Source(
                    row.workspace,
                    row.arrivals.per_second(now),
                    row.weight,
                    row.units,
                )
                for row in self.flows.values()
            )
            self._incoming.refresh(sources, now)
        return self._incoming.beside(flow.workspace, progress)

    def next_flow(self) -> Flow | None:
        """Return the waiting workspace with the lowest virtual time."""
        while self._tags:
            tag, workspace = self._tags[0]
            flow = self.waiting.get(workspace)
            if flow is not None and flow.virtual_time == tag:
                return flow
            heappop(self._tags)
        return None

    def _tag(self, flow: Flow) -> None:
        heappush(self._tags, (flow.virtual_time, flow.workspace))
        if len(self._tags) > 2 * len(self.waiting) + MAX_IDLE_FLOWS:
            self._tags = [
                (row.virtual_time, row.workspace)
                for row in self.waiting.values()
            ]
            heapify(self._tags)

    def _forget_idle(self) -> None:
        if len(self.flows) >= 2 * len(self.waiting) + MAX_IDLE_FLOWS:
            self.flows = dict(self.waiting)
