"""Represent the units of limits that entries report and the home allocates."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import ByAge, Units


@dataclass(frozen=True, slots=True)
class EntrySpending:
    """Report the spending of one entry to the home, by workspace.

    ``returned`` and the fields after it are needed only by a home that
    receives the first report of the entry.
    """

    #: Units spent since the process started, and those of them returned.
    spent: Units = field(default_factory=dict)
    given_back: Units = field(default_factory=dict)
    #: Returned units, by the age of their spending.
    returned: dict[str, ByAge] = field(default_factory=dict)
    #: Units left of each limit, as last reported by a previous home.
    levels: Units = field(default_factory=dict)
    #: Net units spent that these levels include.
    counted: Units = field(default_factory=dict)
    #: Units spent in the last window, returned or not.
    recent: dict[str, ByAge] = field(default_factory=dict)
    #: Units that the entry may spend without contact to a home.
    held: Units = field(default_factory=dict)
    #: Number of entries that shared the limits, as reported by the previous
    #: home; 0 if there was none.
    entries: int = 0

    @property
    def net(self) -> Units:
        """Return the units spent minus those returned."""
        return {
            workspace: units - self.given_back.get(workspace, 0)
            for workspace, units in self.spent.items()
        }


@dataclass(frozen=True, slots=True)
class AllocatedUnits:
    """State the units that an entry may spend until the next allocation."""

    held: Units = field(default_factory=dict)
    #: Additional units that it may spend once it has lost contact to the home.
    beyond: Units = field(default_factory=dict)
    #: Units left of each limit, held or not.
    levels: Units = field(default_factory=dict)
