"""Keep an entry within its part of the workspace limits.

A limit applies to every interval of one quota window. Each unit of it has one
holder at a time: the pool at the home, or one entry. The home allocates units
to an entry with each table, and grants more when a request needs them. An
entry that reaches no home continues with the units that it holds, and with
its own spending as that leaves the window. No entry spends units that it does
not hold. So the sum over all holders equals the limit, connected or not, by
construction.

A request counts from its admission, which lies between the time the caller
sends it and the time the upstream runs it, however long it is queued.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from spanfall_core.gateway.known.limits import Limit, Limits
from spanfall_core.gateway.known.spending import ByAge, Spending, Units
from spanfall_core.gateway.known.unit_reports import (
    AllocatedUnits,
    EntrySpending,
)
from spanfall_core.gateway.limits.allocations import Allocation

#: Part of its share of a limit that an entry may spend after its start before
#: it reaches the home: enough for the first requests of each workspace.
STARTUP_PART = 0.06
#: An entry requests more units at once if it holds less than this part of its
#: last allocation, or fewer than this number of units.
LOW_WATERMARK_PART = 0.3
LOW_WATERMARK_MIN_UNITS = 1.0
#: Seconds for which an entry requests no units of a workspace after the home
#: had none. It bounds the requests for a workspace in high demand to twenty a
#: second.
DENIAL_BACKOFF_SECONDS = 0.05


@dataclass(slots=True)
class Quotas:
    """Track what one entry may spend of the limits."""

    #: Number of entries that share each limit, as far as known.
    entries: int = 1
    #: Units since the process started, by workspace.
    spent: Units = field(default_factory=dict)
    given_back: Units = field(default_factory=dict)
    _allocations: dict[str, Allocation] = field(default_factory=dict)
    _own: dict[str, Spending] = field(default_factory=dict)
    _returned: dict[str, Spending] = field(default_factory=dict)
    #: Units left of each limit as last reported by a home, and this entry's net
    #: spending that the report included.
    _levels: Units = field(default_factory=dict)
    _counted: Units = field(default_factory=dict)

    def try_spend(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> bool:
        """Spend units of a workspace if this entry holds enough."""
        if self.available(workspace, limit, now) < units:
            return False
        self._own[workspace].spend(units, limit.window, now)
        self.spent[workspace] = self.spent.get(workspace, 0) + units
        allocation = self._allocations[workspace]
        if allocation.given is not None:
            allocation.given -= units
        return True

    def available(self, workspace: str, limit: Limit, now: float) -> float:
        """Return the units that this entry may spend now."""
        allocation = self._allocation_of(workspace, limit, now)
        if allocation.given is not None:
            return allocation.given
        # A standalone entry does not use a raised limit: the home cannot tell
        # that this entry has applied it.
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

        They cancel their spending at the time when it was spent. Cancelling
        at the current time would count them as unspent after the spending has
        left the window, so that as many units could run twice.
        """
        own = self._own.get(workspace)
        if own is None or not own.is_in_window(
            spent_at,
            limit.window,
            now,
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
        """Tell whether to request more units of some limit at once."""
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
        """Tell whether a home is likely to grant the missing units.

        It is if no home has allocated units yet, if the home has not denied
        units recently, or if other entries hold as many, which they give up
        with their next reports.
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
        """Return the units to request from a home, or 0 if it has none now."""
        allocation = self._allocation_of(workspace, limit, now)
        if allocation.given is None or now < allocation.denied_until:
            return 0
        return max(0, units - allocation.given)

    def apply_lent(self, workspace: str, units: float, now: float) -> None:
        """Add units granted on request; 0: the home has none now."""
        allocation = self._allocations[workspace]
        if not units:
            allocation.denied_until = now + DENIAL_BACKOFF_SECONDS
        elif allocation.given is not None:
            allocation.given += units

    def apply_given(
        self,
        given: AllocatedUnits,
        reported: EntrySpending,
        limits: Limits,
        now: float,
    ) -> None:
        """Apply the allocation that the home sends after a report.

        It does not include units spent or returned since that report.
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
        """Return the full report for a home that is new to this entry."""
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
                    0,
                    self._available_standalone(workspace, limit, now),
                )
                for workspace, limit in known.items()
            },
            entries=self.entries if known else 0,
        )

    def brief_report(self, limits: Limits, now: float) -> EntrySpending:
        """Return the report for a home that already has a full one."""
        return EntrySpending(
            dict(self.spent),
            dict(self.given_back),
            _by_age(self._returned, limits, now),
        )

    def enter_standalone(self, limits: Limits, now: float) -> None:
        """Continue with the units held, as no home is reachable."""
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
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> float:
        """Return what may be spent here if no home is reachable from now on."""
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
        self,
        workspace: str,
        limit: Limit,
        now: float,
    ) -> Allocation:
        """Return the allocation, initially an assumed part of the limit.

        Units that an earlier process on this node may have spent count as
        spent now, as it may have spent them at its last moment.
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
    """Return the nonzero spending of the window, by age."""
    return {
        workspace: own.by_age(now)
        for workspace, own in spending.items()
        if workspace in limits and own.recent(limits[workspace].window, now)
    }
