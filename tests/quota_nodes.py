"""Hold the nodes of the model of limits and what is under way to them."""

from dataclasses import dataclass, field

from quota_traffic import Fate
from spanfall_core.gateway.known.limits import EffectiveLimits, Limit
from spanfall_core.gateway.known.unit_reports import (
    AllocatedUnits,
    EntrySpending,
)
from spanfall_core.gateway.limits.quotas import Quotas

#: Units a second and at once, as of a large workspace of the deployments.
#: The window is the one in which the platform counts.
WINDOW = 8
LIMIT = Limit(rate=200_000, burst=450_000, window=WINDOW)
#: Steps until a killed process runs again.
RESTART_STEPS = 34


@dataclass(slots=True)
class Table:
    """Hold what the home answered to a report, until it arrives."""

    due: int
    given: AllocatedUnits | None
    reported: EntrySpending


@dataclass(slots=True)
class Node:
    """Hold one node of the world."""

    name: str
    quotas: Quotas
    limits: EffectiveLimits = field(default_factory=EffectiveLimits)
    configured: Limit = LIMIT
    #: Step at which it learns the newest limit.
    learns_at: int = 0
    lives: int = 0
    #: Steps since it was cut off, frozen or killed; None: it is not.
    cut: int | None = None
    frozen: int | None = None
    dead: int | None = None
    #: Step until which it takes a home that handed over for the home.
    hears_at: int = 0
    #: Epoch of the home that knows it.
    follows: int = 0
    table: Table | None = None

    @property
    def key(self):
        """Name this life of the node."""
        return f'{self.name}/{self.lives}'

    @property
    def runs(self):
        """Tell whether its process runs."""
        return self.dead is None and self.frozen is None

    @property
    def is_reached(self):
        """Tell whether the others reach this node."""
        return self.cut is None and self.runs

    def limits_at(self, now):
        """Return the limits that bind here."""
        return self.limits.at({'large': self.configured}, now)

    def pass_time(self):
        """Let a step pass."""
        if self.cut is not None:
            self.cut += 1
        if self.frozen is not None:
            self.frozen += 1
        if self.dead is not None:
            self.dead += 1
            if self.dead >= RESTART_STEPS:
                self.dead = None

    def die(self, quotas):
        """Begin another life, which knows nothing of this one."""
        self.dead = 0
        self.frozen = None
        self.lives += 1
        self.follows = 0
        self.table = None
        self.quotas = quotas
        self.limits = EffectiveLimits()

    def heal(self, link_steps, now):
        """Be reached again; a long freeze has cost it the link."""
        self.cut = None
        if self.frozen is not None and self.frozen >= link_steps:
            self.go_alone(now)
        self.frozen = None

    def take_table(self, entries, now):
        """Take over the table that has arrived."""
        table = self.table
        self.table = None
        limits = self.limits_at(now)
        if table.given is None:
            self.quotas.go_alone(limits, now)
            return
        self.quotas.entries = entries
        self.quotas.learn_given(table.given, table.reported, limits, now)

    def go_alone(self, now):
        """Find that no home is heard."""
        self.table = None
        self.follows = 0
        self.quotas.go_alone(self.limits_at(now), now)


@dataclass(slots=True, order=True)
class Waiting:
    """Hold an admitted request until it runs or is refused."""

    due: int
    order: int
    node: Node = field(compare=False)
    fate: Fate = field(compare=False)
    sent_at: float = field(compare=False)
    units: float = field(compare=False)
    #: Life of the node that admitted it.
    key: str = field(compare=False, default='')

    def __post_init__(self):
        self.key = self.node.key
