"""Keep an entry inside its part of the limits of workspaces.

A limit holds for every span of the quota window. Each unit of it belongs to
one holder at a time: to the pool of the home, or to one entry. The home gives
an entry some units with each table, and more where a request needs them; an
entry that hears no home goes on with what it holds, and with what it spent
itself as that leaves the window. No entry spends what it does not hold. So
the sum over all holders is the limit, in touch or not, by construction.

A request counts from its admission, which lies between its caller's sending
it and the upstream's running it, however long it waits in between.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import ByAge, Spending, Units
from spanfall_core.gateway.known.unit_reports import (
    AllocatedUnits,
    EntrySpending,
)

#: Part of its share of a limit that an entry may spend at its start, before
#: it finds the home: enough for the first requests of each workspace.
FIRST_FREE = 0.06
#: Part of the units given last below which an entry asks for more at once,
#: and units below which it does so whatever it was given.
LOW_PART = 0.3
LEAST_GIVEN = 1.0
#: Seconds for which an entry asks for no more units of a workspace after the
#: home had none: a pressing workspace costs it twenty questions a second.
DENIED_SECONDS = 0.05


@dataclass(slots=True)
class Held:
    """Hold the units of a workspace that belong to this entry."""

    #: Units given by the home, less what was spent since; None: it is alone.
    given: float | None = None
    #: Units given last, to see how fast they go.
    last_given: float = 0
    beyond: float = 0
    #: Alone: what it held and had spent when it lost the home.
    owned: float = 0
    #: The limit of that moment; what it owns falls with the limit.
    owned_of: float = 0
    #: Spending of before this process, as it is assumed at its start.
    assumed: Spending = field(default_factory=Spending)
    #: Whether a home ever gave anything.
    is_known: bool = False
    #: Until when no more is asked for, as the home had none.
    denied_until: float = 0


@dataclass(slots=True)
class Quotas:
    """Hold what one entry may spend of the limits."""

    #: Entries that share each limit, as far as known.
    entries: int = 1
    #: Units since the process started, by workspace.
    spent: Units = field(default_factory=dict)
    given_back: Units = field(default_factory=dict)
    _held: dict[str, Held] = field(default_factory=dict)
    _own: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    #: What the last home said is left of each limit, and what it knew of.
    _levels: Units = field(default_factory=dict)
    _counted: Units = field(default_factory=dict)

    def try_spend(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> bool:
        """Spend units of a workspace if so many are held here."""
        if self.left(workspace, limit, now) < units:
            return False
        self._own[workspace].spend(units, limit.window, now)
        self.spent[workspace] = self.spent.get(workspace, 0) + units
        held = self._held[workspace]
        if held.given is not None:
            held.given -= units
        return True

    def left(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what may be spent here now."""
        held = self._row(workspace, limit, now)
        if held.given is not None:
            return held.given
        # A limit that rises is not taken part of alone: the home does not
        # know that this entry follows it.
        part = min(1, limit.total / held.owned_of) if held.owned_of else 1
        recent = self._recent(workspace, limit, now)
        assumed = held.assumed.recent(limit.window, now)
        return held.owned * part - recent - assumed

    def give_back(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        spent_at: float,
        now: float,
    ) -> None:
        """Return units of a request that no upstream ran.

        They cancel their spending where it stands in the window. Cancelled
        now instead, they would go on to count as unspent after the spending
        has left, and let as much run twice.
        """
        own = self._own.get(workspace)
        if own is None or not own.is_in_window(spent_at, limit.window, now):
            return
        returned = self._returned.setdefault(workspace, Spending())
        returned.recent(limit.window, now)
        returned.add(units, spent_at)
        known = self.given_back.get(workspace, 0)
        self.given_back[workspace] = known + units
        held = self._held[workspace]
        if held.given is not None:
            held.given += units

    def is_low(self) -> bool:
        """Tell whether the home should give more of some limit at once."""
        return any(
            row.given is not None
            and row.given < max(row.last_given * LOW_PART, LEAST_GIVEN)
            and self._levels.get(workspace, 0) > 0
            for workspace, row in self._held.items()
        )

    def may_get_more(self, workspace: str, units: float, now: float) -> bool:
        """Tell whether a home is likely to give units that are missing here.

        This entry has not heard it yet, or not lately that it has none, or
        others hold as many, who give them back with their next reports.
        """
        row = self._held.get(workspace)
        if row is None or not row.is_known:
            return True
        if row.given is None:
            return False
        return now >= row.denied_until or self._levels.get(workspace, 0) > units

    def missing(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> float:
        """Return the units to ask a home for, or 0 if it has none now."""
        row = self._row(workspace, limit, now)
        if row.given is None or now < row.denied_until:
            return 0
        return max(0, units - row.given)

    def learn_lent(self, workspace: str, units: float, now: float) -> None:
        """Take units that the home gave besides; none: it has none now."""
        row = self._held[workspace]
        if not units:
            row.denied_until = now + DENIED_SECONDS
        elif row.given is not None:
            row.given += units

    def learn_given(
        self,
        given: AllocatedUnits,
        reported: EntrySpending,
        limits: Limits,
        now: float,
    ) -> None:
        """Take over what the home gives after a report.

        The home does not know yet what was spent, or came back, since then.
        """
        before = reported.net
        for workspace, limit in limits.items():
            units = given.held.get(workspace)
            if units is None:
                continue
            row = self._row(workspace, limit, now)
            since = self._net(workspace) - before.get(workspace, 0)
            row.given = units - since
            row.last_given = units
            row.beyond = given.beyond.get(workspace, 0)
            row.is_known = True
        self._levels = given.levels
        self._counted = before

    def report(self, limits: Limits, now: float) -> EntrySpending:
        """Return what a home that is new to this entry is to know."""
        known = {
            workspace: limits[workspace]
            for workspace, row in self._held.items()
            if workspace in limits and row.is_known
        }
        return replace(
            self.brief_report(limits, now),
            levels={name: self._levels.get(name, 0) for name in known},
            counted=self._counted,
            recent=_by_age(self._own, limits, now),
            held={
                workspace: max(0, self._free_alone(workspace, limit, now))
                for workspace, limit in known.items()
            },
            entries=self.entries if known else 0,
        )

    def brief_report(self, limits: Limits, now: float) -> EntrySpending:
        """Return what a home that knows this entry is to know."""
        return EntrySpending(
            dict(self.spent),
            dict(self.given_back),
            _by_age(self._returned, limits, now),
        )

    def go_alone(self, limits: Limits, now: float) -> None:
        """Go on with what this entry holds, as no home is heard."""
        for workspace, row in self._held.items():
            limit = limits.get(workspace)
            if row.given is None or limit is None:
                continue
            recent = self._recent(workspace, limit, now)
            row.owned = row.given + row.beyond + recent
            row.owned_of = limit.total
            row.assumed = Spending()
            row.given = None

    def _free_alone(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what may be spent here if no home is heard from now on."""
        left = self.left(workspace, limit, now)
        row = self._held[workspace]
        return left if row.given is None else left + row.beyond

    def _net(self, workspace: str) -> float:
        spent = self.spent.get(workspace, 0)
        return spent - self.given_back.get(workspace, 0)

    def _recent(self, workspace: str, limit: Limit, now: float) -> float:
        recent = self._own[workspace].recent(limit.window, now)
        returned = self._returned.get(workspace)
        if returned is None:
            return recent
        return recent - returned.recent(limit.window, now)

    def _row(self, workspace: str, limit: Limit, now: float) -> Held:
        """Return what is held; at first it is an assumed part of the limit.

        What an earlier process here may have spent counts as spent now: it
        may all have been in its last moment.
        """
        row = self._held.get(workspace)
        if row is None:
            part = limit.total / max(1, self.entries)
            row = Held(owned=part, owned_of=limit.total)
            row.assumed.add(part * (1 - FIRST_FREE), now)
            self._held[workspace] = row
            self._own[workspace] = Spending()
        return row


def _by_age(
    spending: Mapping[str, Spending],
    limits: Limits,
    now: float,
) -> dict[str, ByAge]:
    """Return the spending of the window that is not nothing, by age."""
    return {
        workspace: own.by_age(now)
        for workspace, own in spending.items()
        if workspace in limits and own.recent(limits[workspace].window, now)
    }
