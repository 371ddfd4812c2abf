"""Model the nodes of the simulation of limits and what they await."""

from dataclasses import dataclass, field

from quota_traffic import Outcome
from spanfall_core.gateway.known.limits import EffectiveLimits, Limit
from spanfall_core.gateway.known.unit_reports import (
    AllocatedUnits,
    EntrySpending,
)
from spanfall_core.gateway.limits.quotas import Quotas

#: Seconds of the window in which the platform counts, and the limit of a large
#: workspace of the deployments, in units a second and units at once.
WINDOW = 8
LIMIT = Limit(rate=200_000, burst=450_000, window=WINDOW)
#: Steps until a killed process has restarted.
RESTART_STEPS = 34


@dataclass(slots=True)
class Table:
    """Hold the home's answer to a report until it arrives."""

    due: int
    given: AllocatedUnits | None
    reported: EntrySpending


@dataclass(slots=True)
class Node:
    """Model one node."""

    name: str
    quotas: Quotas
    limits: EffectiveLimits = field(default_factory=EffectiveLimits)
    configured: Limit = LIMIT
    #: Step at which the node applies the newest limit.
    config_applied_at: int = 0
    incarnation: int = 0
    #: Steps since the node was cut off, frozen or killed; None: it is not.
    cut: int | None = None
    frozen: int | None = None
    dead: int | None = None
    #: Step at which the node receives that the home has handed over.
    handover_seen_at: int = 0
    #: Epoch of the home that last received a report of this node.
    home_epoch: int = 0
    table: Table | None = None

    @property
    def key(self):
        """Return the key of this incarnation of the node."""
        return f'{self.name}/{self.incarnation}'

    @property
    def is_running(self):
        """Tell whether the process is running."""
        return self.dead is None and self.frozen is None

    @property
    def is_reachable(self):
        """Tell whether other nodes can reach this node."""
        return self.cut is None and self.is_running

    def limits_at(self, now):
        """Return the limits in force on this node."""
        return self.limits.at({'large': self.configured}, now)

    def advance(self):
        """Advance by one step."""
        if self.cut is not None:
            self.cut += 1
        if self.frozen is not None:
            self.frozen += 1
        if self.dead is not None:
            self.dead += 1
            if self.dead >= RESTART_STEPS:
                self.dead = None

    def restart(self, quotas):
        """Start a new incarnation without the state of this one."""
        self.dead = 0
        self.frozen = None
        self.incarnation += 1
        self.home_epoch = 0
        self.table = None
        self.quotas = quotas
        self.limits = EffectiveLimits()

    def heal(self, link_steps, now):
        """Reconnect the node; a long freeze has closed its link."""
        self.cut = None
        if self.frozen is not None and self.frozen >= link_steps:
            self.enter_standalone(now)
        self.frozen = None

    def apply_table(self, entries, now):
        """Apply the table that has arrived."""
        table = self.table
        self.table = None
        limits = self.limits_at(now)
        if table.given is None:
            self.quotas.enter_standalone(limits, now)
            return
        self.quotas.entries = entries
        self.quotas.apply_given(table.given, table.reported, limits, now)

    def enter_standalone(self, now):
        """Continue without a home."""
        self.table = None
        self.home_epoch = 0
        self.quotas.enter_standalone(self.limits_at(now), now)


@dataclass(slots=True, order=True)
class AdmittedRequest:
    """Hold an admitted request until it runs or is refused."""

    due: int
    order: int
    node: Node = field(compare=False)
    outcome: Outcome = field(compare=False)
    sent_at: float = field(compare=False)
    units: float = field(compare=False)
    #: Incarnation of the node that admitted the request.
    key: str = field(compare=False, default='')

    def __post_init__(self):
        self.key = self.node.key
