"""Hold what one entry may spend of the limit of one workspace."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import Spending


@dataclass(slots=True)
class Allocation:
    """Hold the units of a workspace that this entry may spend."""

    #: Units given by the home, less spending since. None: the entry
    #: is standalone, that is without a home.
    given: float | None = None
    #: Units of the last allocation, to detect that they are running out.
    last_given: float = 0
    beyond: float = 0
    #: Standalone: units held and spent when the home was lost.
    owned: float = 0
    #: Total of the limit at that time; ``owned`` shrinks with the limit.
    owned_limit_total: float = 0
    #: Assumed spending of an earlier process on this node.
    assumed: Spending = field(default_factory=Spending)
    #: Whether any home has allocated units.
    has_been_allocated: bool = False
    #: Time until which no units are requested, as the home had none.
    denied_until: float = 0
