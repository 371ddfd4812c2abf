"""Plan when rejected requests come back.

Each one gets a time of its own, spaced by the work that there will be room
for, so that returns neither meet nor leave places free. All times are in
seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

#: Fraction of the time that a caller has left within which it honours a
#: Retry-After.
HONOURED_FRACTION = 1 / 3
#: Minimum Retry-After: an earlier return finds the same load.
MIN_RETRY_AFTER = 0.05
#: Maximum Retry-After: nothing is known of the load after that.
MAX_RETRY_AFTER = 30.0
#: Seconds by which a caller may come back earlier than it was told: its clock
#: and the network shift its time.
EARLY_TOLERANCE = 0.02
#: Seconds after which a caller that has not come back is not expected again.
LATE_TOLERANCE = 2.0
#: Maximum returns that are remembered for one service.
MAX_RETURNS = 4096


@dataclass(frozen=True, slots=True)
class Backlog:
    """State the work that comes before a return."""

    #: Workspace and urgency whose returns share the room.
    workspace: str
    priority: int
    #: Seconds until the work that waits now is served.
    seconds: float
    #: Units per second that returns can expect; 0: unknown.
    rate: float


@dataclass(slots=True)
class ReturnPlan:
    """Hold the times at which rejected requests of a service come back."""

    _told: OrderedDict[str, float] = field(default_factory=OrderedDict)
    #: End of the last planned return, by workspace and urgency.
    _ends: dict[tuple[str, int], float] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of returns that are remembered."""
        return len(self._told)

    def plan(
        self,
        identity: str,
        backlog: Backlog,
        units: float,
        latest_in: float,
        now: float,
    ) -> float:
        """Return the Retry-After of a rejected request.

        A request gets a place among the returns only if that is within
        ``latest_in``, as from ``latest_return``; to the others it is stated
        when there will be room.
        """
        key = (backlog.workspace, backlog.priority)
        earliest = now + max(MIN_RETRY_AFTER, backlog.seconds)
        told = max(earliest, self._ends.get(key, 0))
        told = min(told, now + MAX_RETRY_AFTER)
        if backlog.rate > 0 and told - now <= latest_in:
            self._remember(identity, told, now)
            end = told + units / backlog.rate
            self._ends[key] = min(end, now + MAX_RETRY_AFTER)
        return told - now

    def seconds_early(self, identity: str, now: float) -> float:
        """Return the seconds by which a request is back too early, or 0."""
        left = self._told.get(identity, now) - now
        return left if left > EARLY_TOLERANCE else 0

    def is_expected(self, identity: str, now: float) -> bool:
        """Return whether a request comes back as it was told to."""
        told = self._told.get(identity)
        if told is None:
            return False
        return told - EARLY_TOLERANCE <= now <= told + LATE_TOLERANCE

    def settle(self, identity: str) -> None:
        """Forget a request that came back and was sent or held."""
        self._told.pop(identity, None)

    def _remember(self, identity: str, told: float, now: float) -> None:
        self._told.pop(identity, None)
        self._told[identity] = told
        oldest = next(iter(self._told))
        is_overdue = self._told[oldest] + LATE_TOLERANCE < now
        if is_overdue or len(self._told) > MAX_RETURNS:
            self._told.pop(oldest)
        if len(self._ends) > MAX_RETURNS:
            self._ends = {
                key: end for key, end in self._ends.items() if end > now
            }


def latest_return(deadline_in: float, least_run: float) -> float:
    """Return the longest Retry-After with which a request is served in time."""
    return min(deadline_in * HONOURED_FRACTION, deadline_in - least_run)
