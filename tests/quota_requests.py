"""Simulate the requests that the nodes of the simulation receive."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from limit_checker import Run, max_in_window
from quota_nodes import WINDOW, AdmittedRequest, Node
from quota_traffic import Outcome, equal_sizes, run_immediately

STEP = 0.05
#: Seconds for which a request waits for missing units, as
#: callers.MOST_ADMIT_SECONDS.
ADMIT_SECONDS = 0.12


@dataclass(slots=True)
class UnadmittedRequest:
    """Hold a request that lacks units and is tried again."""

    node: Node
    key: str
    size: float
    sent_at: float


@dataclass(slots=True)
class RequestSimulation:
    """Generate ``demand`` units a second in all; record what ran and when."""

    entries: int
    demand: float
    sizes: Callable[[], float] = field(default_factory=equal_sizes)
    outcomes: Callable[[], Outcome] = field(default_factory=run_immediately)
    step: int = 0
    runs: list[Run] = field(default_factory=list)
    ran: deque = field(default_factory=deque)
    admitted: int = 0
    refused: int = 0
    _due: dict[str, float] = field(default_factory=dict)
    _next: dict[str, float] = field(default_factory=dict)
    _pending: list[AdmittedRequest] = field(default_factory=list)
    _unadmitted: list[UnadmittedRequest] = field(default_factory=list)
    _order: count = field(default_factory=count)

    @property
    def now(self):
        return self.step * STEP

    @property
    def max_units_run(self):
        """Return the maximum units that ran in one window."""
        return max_in_window(self.runs, WINDOW)

    def serve(self, node: Node, try_spend):
        """Admit the requests of one step as far as units are available."""
        name = node.name
        due = self._due.get(name, 0) + self.demand * STEP / self.entries
        while True:
            size = self._next.setdefault(name, self.sizes())
            if due < size:
                break
            due -= size
            del self._next[name]
            self._try_admit(
                UnadmittedRequest(node, node.key, size, self.now),
                try_spend,
            )
        self._due[name] = due

    def retry_unadmitted(self, try_spend):
        """Try the requests again that lacked units in the last step."""
        unadmitted = self._unadmitted
        self._unadmitted = []
        for request in unadmitted:
            if request.node.key == request.key and request.node.is_running:
                self._try_admit(request, try_spend)

    def _try_admit(self, request, try_spend):
        if try_spend(request.node, request.size):
            self.admitted += 1
            self._start(request.node, request.size, request.sent_at)
        elif self.now - request.sent_at < ADMIT_SECONDS:
            self._unadmitted.append(request)
        else:
            self.refused += 1

    def _start(self, node, size, sent_at):
        outcome = self.outcomes()
        due = self.step + outcome.steps
        pending = AdmittedRequest(
            due,
            next(self._order),
            node,
            outcome,
            sent_at,
            size,
        )
        heappush(self._pending, pending)
        self.finish_due()

    def finish_due(self):
        """Run or refuse the admitted requests that are due."""
        while self._pending and self._pending[0].due <= self.step:
            pending = heappop(self._pending)
            if pending.node.key != pending.key:
                continue
            if pending.outcome.is_refused:
                self._refuse(pending)
                continue
            run = Run(pending.sent_at, self.now, pending.units)
            self.runs.append(run)
            self.ran.append((run.ran_at, run.units))
        while self.ran and self.ran[0][0] <= self.now - WINDOW:
            self.ran.popleft()

    def _refuse(self, pending):
        """Refuse an admitted request that no upstream ran; return its units."""
        node = pending.node
        node.quotas.give_back(
            'large',
            node.limits_at(self.now)['large'],
            pending.units,
            pending.sent_at,
            self.now,
        )
