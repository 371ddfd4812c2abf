"""Play a fleet whose upstreams all reject, in virtual time."""

from dataclasses import dataclass, field
from random import Random

from retry_checker import Seen, worst_use
from spanfall_core.gateway.known.reporting import report_period
from spanfall_core.gateway.routing.allowance_share import AllowanceShare
from spanfall_core.gateway.routing.retry_budget import RetryBudget, RetryLimits

SERVICE = 'desk'
STEP = 0.05
#: Seconds for which a home is valid without the store, after which another one
#: may be elected, and without a report after which it counts an entry no more.
LEASE = 3.0
SILENCE = 2.0
#: Most retries that the route of a request allows.
RETRIES = 3


@dataclass(slots=True)
class Node:
    """Hold one process of a host, and on which side of a cut it is."""

    budget: RetryBudget
    side: int = 0
    starts_at: float = 0
    told: int = 1
    told_at: float = float('-inf')

    def is_up(self, now: float) -> bool:
        """Return whether the process runs."""
        return now >= self.starts_at


@dataclass(slots=True)
class Home:
    """Hold one home: its node, and when its record was last renewed."""

    node: Node
    began_at: float
    assumed: int
    renewed_at: float
    heard: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class RetryFleet:
    """Play requests that are all rejected; side 0 reaches the store."""

    entries: int
    rate: float
    limits: RetryLimits
    rng: Random
    #: Parts of the requests that each entry gets; None: all the same.
    weights: list[float] | None = None
    now: float = 0
    seen: Seen = field(default_factory=Seen)
    nodes: list[Node] = field(default_factory=list)
    homes: list[Home] = field(default_factory=list)
    _owed: float = 0

    def __post_init__(self):
        self.nodes = [Node(self._new_budget()) for _ in range(self.entries)]

    def run(self, seconds):
        """Play as many seconds."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            self._elect()
            self._report()
            self._serve()

    def run_behind_cut(self, seconds):
        """Play as many seconds in which what is sent arrives at their end."""
        arrived = self.seen.repeated_at
        self.seen.repeated_at = []
        self.run(seconds)
        late = (self.now for _ in self.seen.repeated_at)
        self.seen.repeated_at = [*arrived, *late]

    def kill(self, nodes, dark=0.5):
        """Kill processes; they start again after some seconds."""
        for node in nodes:
            node.starts_at = self.now + dark
            node.budget = self._new_budget(node.starts_at)
            node.told = 1
            node.told_at = float('-inf')
        self.homes = [home for home in self.homes if home.node not in nodes]

    def cut(self, nodes):
        """Cut nodes off from the store and from all others but themselves."""
        for node in nodes:
            node.side = 1

    def heal(self, nodes):
        """Join nodes with the others again, and let one home remain."""
        for node in nodes:
            node.side = 0
        self.homes = self.homes[-1:]

    def worst_use(self):
        """Return the largest part of what is allowed that a window holds."""
        return worst_use(self.seen, self.limits)

    def _new_budget(self, started_at=0.0):
        share = AllowanceShare(
            self.limits.window + self.limits.delivery, LEASE, started_at
        )
        return RetryBudget(self.limits, share)

    def _elect(self):
        for home in self.homes:
            if home.node.side == 0:
                home.renewed_at = self.now
        if any(map(self._is_valid, self.homes)):
            return
        reaching = [
            node
            for node in self.nodes
            if node.side == 0 and node.is_up(self.now)
        ]
        if reaching:
            node = reaching[0]
            self.homes.append(Home(node, self.now, node.told, self.now))

    def _report(self):
        for number, node in enumerate(self.nodes):
            home = self._home_of(node)
            period = report_period(self.entries)
            is_due = self.now - node.told_at >= period
            if home is None or not (is_due and node.is_up(self.now)):
                continue
            home.heard[number] = self.now
            live = sum(
                self.now - at <= max(SILENCE, 2 * period)
                for at in home.heard.values()
            )
            if self.now - home.began_at < LEASE:
                live = max(live, home.assumed)
            node.told = live
            node.told_at = self.now
            node.budget.share.tell(live, self.now)

    def _home_of(self, node):
        valid = [
            home
            for home in self.homes
            if home.node.side == node.side and self._is_valid(home)
        ]
        return valid[-1] if valid else None

    def _is_valid(self, home):
        return self.now - home.renewed_at < LEASE

    def _serve(self):
        self._owed += self.rate * STEP
        up = [node for node in self.nodes if node.is_up(self.now)]
        while self._owed >= 1:
            self._owed -= 1
            self.seen.sent_at.append(self.now)
            if up:
                self._send(self._choose(up))

    def _choose(self, up):
        if self.weights is None:
            return self.rng.choice(up)
        weights = [self.weights[self.nodes.index(node)] for node in up]
        return self.rng.choices(up, weights)[0]

    def _send(self, node):
        node.budget.record_request(SERVICE, self.now)
        for _ in range(RETRIES):
            if not node.budget.try_reserve(SERVICE, self.now).is_allowed:
                return
            node.budget.record_send(SERVICE, self.now)
            self.seen.repeated_at.append(self.now)
