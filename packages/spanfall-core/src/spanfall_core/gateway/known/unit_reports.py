"""Tell between an entry and the home what was spent and given of limits."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import ByAge, Units


@dataclass(frozen=True, slots=True)
class EntrySpending:
    """Tell the home what one entry spent, by workspace.

    Only a home that hears the entry for the first time needs what follows
    ``returned``.
    """

    #: Units since the process started, and those of them that came back.
    spent: Units = field(default_factory=dict)
    given_back: Units = field(default_factory=dict)
    #: Units that came back, by the age of their spending.
    returned: dict[str, ByAge] = field(default_factory=dict)
    #: What was left of each limit, as an earlier home said last.
    levels: Units = field(default_factory=dict)
    #: What of the units spent, less those back, those levels know of.
    counted: Units = field(default_factory=dict)
    #: Units spent in the last window, whether they came back or not.
    recent: dict[str, ByAge] = field(default_factory=dict)
    #: Units that the entry may spend without hearing a home.
    held: Units = field(default_factory=dict)
    #: Entries that shared the limits, as the earlier home said; 0: none did.
    entries: int = 0

    @property
    def net(self) -> Units:
        """Return the units spent, less those that came back."""
        return {
            workspace: units - self.given_back.get(workspace, 0)
            for workspace, units in self.spent.items()
        }


@dataclass(frozen=True, slots=True)
class AllocatedUnits:
    """State what an entry may spend until it is given more."""

    held: Units = field(default_factory=dict)
    #: Units besides that it may spend once it hears no home.
    beyond: Units = field(default_factory=dict)
    #: What is left of each limit, held or not.
    levels: Units = field(default_factory=dict)
