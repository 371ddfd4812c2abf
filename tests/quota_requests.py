"""Play the requests that the nodes of the model of limits get."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from limit_checker import Run, most_in_a_span
from quota_nodes import WINDOW, Node, Waiting
from quota_traffic import Fate, equal_sizes, run_at_once

STEP = 0.05
#: Seconds for which a request waits for units that it lacks, as
#: callers.MOST_ADMIT_SECONDS.
ADMIT_SECONDS = 0.12


@dataclass(slots=True)
class Asking:
    """Hold a request that lacks units and asks again."""

    node: Node
    key: str
    size: float
    sent_at: float


@dataclass(slots=True)
class RequestWorld:
    """Draw ``demand`` units a second in all; note what ran and when."""

    entries: int
    demand: float
    sizes: Callable[[], float] = field(default_factory=equal_sizes)
    fates: Callable[[], Fate] = field(default_factory=run_at_once)
    step: int = 0
    runs: list[Run] = field(default_factory=list)
    ran: deque = field(default_factory=deque)
    admitted: int = 0
    refused: int = 0
    _due: dict[str, float] = field(default_factory=dict)
    _next: dict[str, float] = field(default_factory=dict)
    _waiting: list[Waiting] = field(default_factory=list)
    _asking: list[Asking] = field(default_factory=list)
    _order: count = field(default_factory=count)

    @property
    def now(self):
        return self.step * STEP

    @property
    def most_ran(self):
        """Return the most units that ran in a window."""
        return most_in_a_span(self.runs, WINDOW)

    def serve(self, node: Node, try_spend):
        """Admit the requests of one step, as far as units are to be had."""
        name = node.name
        due = self._due.get(name, 0) + self.demand * STEP / self.entries
        while True:
            size = self._next.setdefault(name, self.sizes())
            if due < size:
                break
            due -= size
            del self._next[name]
            self._ask(Asking(node, node.key, size, self.now), try_spend)
        self._due[name] = due

    def ask_again(self, try_spend):
        """Let those ask once more that lacked units a moment ago."""
        asking = self._asking
        self._asking = []
        for waiting in asking:
            if waiting.node.key == waiting.key and waiting.node.runs:
                self._ask(waiting, try_spend)

    def _ask(self, asking, try_spend):
        if try_spend(asking.node, asking.size):
            self.admitted += 1
            self._begin(asking.node, asking.size, asking.sent_at)
        elif self.now - asking.sent_at < ADMIT_SECONDS:
            self._asking.append(asking)
        else:
            self.refused += 1

    def _begin(self, node, size, sent_at):
        fate = self.fates()
        due = self.step + fate.steps
        waiting = Waiting(due, next(self._order), node, fate, sent_at, size)
        heappush(self._waiting, waiting)
        self.end_waits()

    def end_waits(self):
        """Let those run, or be refused, that have waited long enough."""
        while self._waiting and self._waiting[0].due <= self.step:
            waiting = heappop(self._waiting)
            if waiting.node.key != waiting.key:
                continue
            if waiting.fate.is_refused:
                self._refuse(waiting)
                continue
            run = Run(waiting.sent_at, self.now, waiting.units)
            self.runs.append(run)
            self.ran.append((run.ran_at, run.units))
        while self.ran and self.ran[0][0] <= self.now - WINDOW:
            self.ran.popleft()

    def _refuse(self, waiting):
        """Refuse an admitted request that no upstream ran."""
        node = waiting.node
        node.quotas.give_back(
            'large',
            node.limits_at(self.now)['large'],
            waiting.units,
            waiting.sent_at,
            self.now,
        )
