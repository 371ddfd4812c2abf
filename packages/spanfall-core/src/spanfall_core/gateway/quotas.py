"""Share the limits of workspaces over all entries.

A limit holds for every span of the quota window: rate times window plus
burst. The home keeps what was spent in the last window and gives out what is
left. An entry spends from what it heard last, but only a part of it before
it hears again. An entry that hears nobody keeps its own part of the limit, so
that all entries alone together stay inside it.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

#: Part of a limit that a new home takes as spent where neither an entry nor
#: the record in the store tells: the record is kept while more is spent.
UNRECORDED_PART = 0.5
#: Part of its share of a limit that an entry may spend at its start, before
#: it finds the home: enough for the first requests of each workspace.
FIRST_FREE = 0.06
#: Pieces in which spending that is only assumed leaves the window.
ASSUMED_PIECES = 32
#: Seconds for which spending is kept as one number.
PIECE_SECONDS = 0.1
#: How many times its equal part of what is left an entry may spend before
#: it hears of the others again: callers are spread unevenly.
UNEVENNESS = 2.5
#: Part of a limit; with less than it left, an entry may spend its equal part
#: only, so that all together do not spend more than there is.
SCARCE_PART = 0.25

Units = dict[str, float]


@dataclass(frozen=True, slots=True)
class Limit:
    """State the limit of a workspace, in units a second and at once."""

    rate: float
    burst: float
    #: Seconds of the window.
    window: float

    @property
    def total(self) -> float:
        """Return the units of one window."""
        return self.rate * self.window + self.burst


@dataclass(frozen=True, slots=True)
class EntrySpending:
    """Tell the home what one entry spent, by workspace.

    Only a home that hears the entry for the first time needs the rest.
    """

    #: Units since the process started.
    spent: Units = field(default_factory=dict)
    #: What is left of each limit, as an earlier home said last.
    levels: Units = field(default_factory=dict)
    #: What of ``spent`` those levels know of.
    counted: Units = field(default_factory=dict)
    #: Units in the last window.
    recent: Units = field(default_factory=dict)

    def new_to(self, known: Units) -> Units:
        """Return what was spent beyond what a home knows."""
        return {
            workspace: units - known.get(workspace, 0)
            for workspace, units in self.spent.items()
        }

    def uncounted(self) -> Units:
        """Return what no earlier home told of, in the last window."""
        return {
            workspace: min(units, self.recent.get(workspace, 0))
            for workspace, units in self.new_to(self.counted).items()
        }


@dataclass(slots=True)
class Spending:
    """Hold what was spent in the last window, in pieces by time."""

    spent: float = 0
    _pieces: deque[tuple[float, float]] = field(default_factory=deque)
    #: Spending of before this process, as it is assumed or recorded.
    _assumed: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, units: float, now: float) -> None:
        """Add units spent now; negative units were given back."""
        self.spent += units
        if self._pieces and self._pieces[-1][0] > now - PIECE_SECONDS:
            at, known = self._pieces.pop()
            self._pieces.append((at, known + units))
            return
        self._pieces.append((now, units))

    def credit(self, units: float, now: float) -> None:
        """Free units for one window, as if less had been spent before."""
        self._assumed.append((now, -units))
        self.spent -= units

    def recent(self, window: float, now: float) -> float:
        """Return what was truly spent in the window that ends now."""
        self.left(0, window, now)
        return sum(units for _, units in self._pieces)

    def assume(self, units: float, window: float, now: float) -> None:
        """Take units as spent evenly over the window before now."""
        step = window / ASSUMED_PIECES
        piece = max(0, units) / ASSUMED_PIECES
        self._assumed.extend(
            (now - window + step * (number + 1), piece)
            for number in range(ASSUMED_PIECES)
        )
        self.spent += piece * ASSUMED_PIECES

    def by_age(self, now: float) -> list[float]:
        """Return the units spent, by their age in whole seconds."""
        ages: dict[int, float] = {}
        for at, units in (*self._assumed, *self._pieces):
            age = max(0, int(now - at))
            ages[age] = ages.get(age, 0) + units
        return [ages.get(age, 0) for age in range(max(ages, default=-1) + 1)]

    def recall(self, by_age: list[float], age: float, now: float) -> None:
        """Add units by their age in a record that is ``age`` seconds old."""
        self._assumed.extend(
            (now - age - seconds, units)
            for seconds, units in reversed(list(enumerate(by_age)))
        )
        self.spent += sum(by_age)

    def left(self, total: float, window: float, now: float) -> float:
        """Return what is left of a total in the window that ends now."""
        for pieces in (self._pieces, self._assumed):
            while pieces and pieces[0][0] <= now - window:
                self.spent -= pieces.popleft()[1]
        return total - self.spent


@dataclass(slots=True)
class HeardLevel:
    """Hold what the home said is left of a limit."""

    level: float
    #: Units that may be spent here until the home is heard again.
    allowance: float

    def spend(self, units: float) -> None:
        """Subtract units."""
        self.level -= units
        self.allowance -= units


@dataclass(slots=True)
class Quotas:
    """Hold what one entry may spend of the limits."""

    #: Entries that share each limit, as far as known.
    entries: int = 1
    #: Units spent here since the process started, by workspace.
    spent: Units = field(default_factory=dict)
    _heard: dict[str, HeardLevel] = field(default_factory=dict)
    _own: dict[str, Spending] = field(default_factory=dict)
    #: The levels heard last, and what was spent by then, while alone.
    _last_levels: Units = field(default_factory=dict)
    _last_spent: Units = field(default_factory=dict)

    def try_spend(
        self,
        workspace: str,
        limit: Limit,
        units: float,
        now: float,
    ) -> bool:
        """Spend units of a workspace unless nothing is left.

        What is left pays for a request of any size and may go below zero, so
        that large requests get their turn as small ones do.
        """
        if self.left(workspace, limit, now) <= 0:
            return False
        self._spend(workspace, units, now)
        return True

    def left(self, workspace: str, limit: Limit, now: float) -> float:
        """Return what may be spent here now."""
        own = self._own.get(workspace)
        part = limit.total / max(1, self.entries)
        if own is None:
            own = Spending()
            own.assume(part * (1 - FIRST_FREE), limit.window, now)
            self._own[workspace] = own
        heard = self._heard.get(workspace)
        if heard is None:
            return own.left(part, limit.window, now)
        return min(heard.level, heard.allowance)

    def give_back(self, workspace: str, units: float, now: float) -> None:
        """Return units of a request that no upstream ran."""
        if workspace in self._own:
            self._spend(workspace, -units, now)

    def learn_levels(
        self,
        levels: Units,
        reported: Units,
        limits: Mapping[str, Limit],
    ) -> None:
        """Follow the home's levels.

        ``reported`` is what this entry had spent when it last reported; the
        home does not know yet what it has spent since.
        """
        equal = 1 / max(1, self.entries)
        for workspace, limit in limits.items():
            level = levels.get(workspace, 0)
            scarce = level < limit.total * SCARCE_PART
            part = equal if scarce else min(1, equal * UNEVENNESS)
            spent = self.spent.get(workspace, 0)
            left = level - spent + reported.get(workspace, 0)
            self._heard[workspace] = HeardLevel(left, left * part)

    def report(
        self,
        limits: Mapping[str, Limit],
        now: float,
    ) -> EntrySpending:
        """Return what a home that is new to this entry is to know."""
        recent = {
            workspace: own.recent(limits[workspace].window, now)
            for workspace, own in self._own.items()
            if workspace in limits
        }
        spent = dict(self.spent)
        if self._heard:
            return EntrySpending(spent, self._levels(), spent, recent)
        return EntrySpending(
            spent,
            self._last_levels,
            self._last_spent,
            recent,
        )

    def brief_report(self) -> EntrySpending:
        """Return what a home that knows this entry is to know."""
        return EntrySpending(dict(self.spent))

    def go_alone(self, limits: Mapping[str, Limit], now: float) -> None:
        """Keep to this entry's own part, as no home is heard.

        An entry that gets more than its equal part of the requests keeps its
        part of what the home said is left, if that is more.
        """
        heard = self._heard
        if heard:
            self._last_levels = self._levels()
            self._last_spent = dict(self.spent)
        self._heard = {}
        for workspace, row in heard.items():
            own = self._own.get(workspace)
            limit = limits.get(workspace)
            if own is not None and limit is not None:
                part = row.level / max(1, self.entries)
                missing = part - self.left(workspace, limit, now)
                own.credit(max(0, missing), now)

    def _levels(self) -> Units:
        return {name: row.level for name, row in self._heard.items()}

    def _spend(self, workspace: str, units: float, now: float) -> None:
        self._own[workspace].add(units, now)
        self.spent[workspace] = self.spent.get(workspace, 0) + units
        heard = self._heard.get(workspace)
        if heard is not None:
            heard.spend(units)


@dataclass(slots=True)
class SharedLevels:
    """Hold at the home what all entries spent in the last window."""

    #: What the home before recorded, by workspace and age in seconds.
    recorded: dict[str, list[float]] = field(default_factory=dict)
    recorded_age: float = 0
    _spending: dict[str, Spending] = field(default_factory=dict)
    _spent: dict[str, Units] = field(default_factory=dict)

    def learn(
        self,
        entry: str,
        report: EntrySpending,
        limits: Mapping[str, Limit],
        now: float,
    ) -> None:
        """Add what an entry spent since its last report.

        The levels of its first report, heard from an earlier home, stand for
        what all had spent by then; only what it spent since is new.
        """
        known = self._spent.get(entry)
        new = report.uncounted() if known is None else report.new_to(known)
        for workspace, limit in limits.items():
            spending = self._of(workspace, limit, report.levels, now)
            spending.add(new.get(workspace, 0), now)
        self._spent[entry] = report.spent

    def pressed(
        self,
        limits: Mapping[str, Limit],
        now: float,
    ) -> dict[str, list[float]]:
        """Return the spending, by age, of workspaces that use much."""
        levels = self.levels(limits, now)
        return {
            workspace: self._spending[workspace].by_age(now)
            for workspace, level in levels.items()
            if level < limits[workspace].total * (1 - UNRECORDED_PART)
        }

    def levels(self, limits: Mapping[str, Limit], now: float) -> Units:
        """Return what is left of each limit."""
        return {
            workspace: self._of(workspace, limit, {}, now).left(
                limit.total,
                limit.window,
                now,
            )
            for workspace, limit in limits.items()
        }

    def _of(
        self,
        workspace: str,
        limit: Limit,
        levels: Units,
        now: float,
    ) -> Spending:
        spending = self._spending.get(workspace)
        if spending is None:
            spending = Spending()
            self._spending[workspace] = spending
            self._begin(spending, workspace, limit, levels, now)
        return spending

    def _begin(
        self,
        spending: Spending,
        workspace: str,
        limit: Limit,
        levels: Units,
        now: float,
    ) -> None:
        """Take over what was spent before this home."""
        level = levels.get(workspace)
        by_age = self.recorded.get(workspace)
        if level is not None:
            spending.assume(limit.total - level, limit.window, now)
        elif by_age is not None:
            spending.recall(by_age, self.recorded_age, now)
        else:
            spent = limit.total * UNRECORDED_PART
            spending.assume(spent, limit.window, now)
