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
from spanfall_core.gateway.known.unit_reports import EntrySpending, GivenUnits

#: Part of its share of a limit that an entry may spend at its start, before
#: it finds the home: enough for the first requests of each workspace.
STARTUP_PART = 0.06
#: Part of the units given last below which an entry asks for more at once,
#: and units below which it does so whatever it was given.
LOW_WATERMARK_PART = 0.3
LOW_WATERMARK_MIN_UNITS = 1.0
#: Seconds for which an entry asks for no more units of a workspace after the
#: home had none: a pressing workspace costs it twenty questions a second.
DENIAL_BACKOFF_SECONDS = 0.05


@dataclass(slots=True)
class Allocation:
    """Hold the units of a workspace that belong to this entry."""

    #: Units given by the home, less what was spent since; None: it is alone.
    given: float | None = None
    #: Units given last, to see how fast they go.
    last_given: float = 0
    beyond: float = 0
    #: Alone: what it held and had spent when it lost the home.
    owned: float = 0
    #: The limit of that moment; what it owns falls with the limit.
    owned_limit_total: float = 0
    #: Spending of before this process, as it is assumed at its start.
    assumed: Spending = field(default_factory=Spending)
    #: Whether a home ever gave anything.
    has_been_allocated: bool = False
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
    _allocations: dict[str, Allocation] = field(default_factory=dict)
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
        if self.available(workspace, limit, now) < units:
            return False
        self._own[workspace].spend(units, limit.window, now)
        self.spent[workspace] = self.spent.get(workspace, 0) + units
        allocation = self._allocations[workspace]
        if allocation.given is not None:
            allocation.given -= units
        return True

    def available(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what may be spent here now."""
        allocation = self._allocation_of(workspace, limit, now)
        if allocation.given is not None:
            return allocation.given
        # A limit that rises is not taken part of alone: the home does not
        # know that this entry follows it.
        part = (
            min(1, limit.total / allocation.owned_limit_total)
            if allocation.owned_limit_total
            else 1
        )
        recent = self._recent(workspace, limit, now)
        assumed = allocation.assumed.recent(limit.window, now)
        return allocation.owned * part - recent - assumed

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
        own_spending = self._own.get(workspace)
        if own_spending is None or not own_spending.holds(
            spent_at, limit.window, now
        ):
            return
        returned = self._returned.setdefault(workspace, Spending())
        returned.recent(limit.window, now)
        returned.add(units, spent_at)
        known = self.given_back.get(workspace, 0)
        self.given_back[workspace] = known + units
        allocation = self._allocations[workspace]
        if allocation.given is not None:
            allocation.given += units

    def is_low(self) -> bool:
        """Tell whether the home should give more of some limit at once."""
        return any(
            allocation.given is not None
            and allocation.given
            < max(
                allocation.last_given * LOW_WATERMARK_PART,
                LOW_WATERMARK_MIN_UNITS,
            )
            and self._levels.get(workspace, 0) > 0
            for workspace, allocation in self._allocations.items()
        )

    def may_get_more(self, workspace: str, units: float, now: float) -> bool:
        """Tell whether a home is likely to give units that are missing here.

        This entry has not heard it yet, or not lately that it has none, or
        others hold as many, who give them back with their next reports.
        """
        allocation = self._allocations.get(workspace)
        if allocation is None or not allocation.has_been_allocated:
            return True
        if allocation.given is None:
            return False
        return (
            now >= allocation.denied_until
            or self._levels.get(workspace, 0) > units
        )

    def missing(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> float:
        """Return the units to ask a home for, or 0 if it has none now."""
        allocation = self._allocation_of(workspace, limit, now)
        if allocation.given is None or now < allocation.denied_until:
            return 0
        return max(0, units - allocation.given)

    def apply_lent(self, workspace: str, units: float, now: float) -> None:
        """Take units that the home gave besides; none: it has none now."""
        allocation = self._allocations[workspace]
        if not units:
            allocation.denied_until = now + DENIAL_BACKOFF_SECONDS
        elif allocation.given is not None:
            allocation.given += units

    def apply_given(
        self,
        given: GivenUnits,
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
            allocation = self._allocation_of(workspace, limit, now)
            since = self._net(workspace) - before.get(workspace, 0)
            allocation.given = units - since
            allocation.last_given = units
            allocation.beyond = given.beyond.get(workspace, 0)
            allocation.has_been_allocated = True
        self._levels = given.levels
        self._counted = before

    def report(self, limits: Limits, now: float) -> EntrySpending:
        """Return what a home that is new to this entry is to know."""
        known = {
            workspace: limits[workspace]
            for workspace, allocation in self._allocations.items()
            if workspace in limits and allocation.has_been_allocated
        }
        return replace(
            self.brief_report(limits, now),
            levels={name: self._levels.get(name, 0) for name in known},
            counted=self._counted,
            recent=_by_age(self._own, limits, now),
            held={
                workspace: max(
                    0, self._available_standalone(workspace, limit, now)
                )
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

    def enter_standalone(self, limits: Limits, now: float) -> None:
        """Go on with what this entry holds, as no home is heard."""
        for workspace, allocation in self._allocations.items():
            limit = limits.get(workspace)
            if allocation.given is None or limit is None:
                continue
            recent = self._recent(workspace, limit, now)
            allocation.owned = allocation.given + allocation.beyond + recent
            allocation.owned_limit_total = limit.total
            allocation.assumed = Spending()
            allocation.given = None

    def _available_standalone(
        self, workspace: str, limit: Limit, now: float
    ) -> float:
        """Return what may be spent here if no home is heard from now on."""
        left = self.available(workspace, limit, now)
        allocation = self._allocations[workspace]
        return left if allocation.given is None else left + allocation.beyond

    def _net(self, workspace: str) -> float:
        spent = self.spent.get(workspace, 0)
        return spent - self.given_back.get(workspace, 0)

    def _recent(self, workspace: str, limit: Limit, now: float) -> float:
        recent = self._own[workspace].recent(limit.window, now)
        returned = self._returned.get(workspace)
        if returned is None:
            return recent
        return recent - returned.recent(limit.window, now)

    def _allocation_of(
        self, workspace: str, limit: Limit, now: float
    ) -> Allocation:
        """Return what is held; at first it is an assumed part of the limit.

        What an earlier process here may have spent counts as spent now: it
        may all have been in its last moment.
        """
        allocation = self._allocations.get(workspace)
        if allocation is None:
            part = limit.total / max(1, self.entries)
            allocation = Allocation(owned=part, owned_limit_total=limit.total)
            allocation.assumed.add(part * (1 - STARTUP_PART), now)
            self._allocations[workspace] = allocation
            self._own[workspace] = Spending()
        return allocation


def _by_age(
    spending: Mapping[str, Spending],
    limits: Limits,
    now: float,
) -> dict[str, ByAge]:
    """Return the spending of the window that is not nothing, by age."""
    return {
        workspace: own_spending.by_age(now)
        for workspace, own_spending in spending.items()
        if workspace in limits
        and own_spending.recent(limits[workspace].window, now)
    }
