"""Define the tenure of a node as home."""

from dataclasses import dataclass

from spanfall_core.gateway.known.timelines import timeline_of


def home_key(timeline: int) -> str:
    """Return the key of the home record for a timeline.

    Each timeline of the store has its own key, so that a conditional call of
    an earlier one cannot match the same revision of a later record.
    """
    return f'spanfall/home/{timeline}'


#: Seconds after a failed renewal was sent for which the home counts as having
#: run all the while: over twice the usual time between two renewals.
RUNNING_SECONDS = 1.0


@dataclass(slots=True)
class Tenure:
    """Hold the state of this node's tenure as home."""

    #: Revision of the home record with its timeline: the fencing token.
    epoch: int
    lease: int
    #: Time of the steady clock until which the lease is certainly valid.
    valid_until: float
    #: Time at which the last successful renewal was sent.
    renewed_at: float
    began_at: float
    #: Time from which the home may allocate units of limits; until then the
    #: previous home may still be active.
    allocates_from: float = float('-inf')
    #: Whether this is the first tenure of the fleet.
    is_first: bool = False
    #: Whether the home has given up its record and only answers until the next
    #: home takes over.
    resigned: bool = False
    #: Whether the lease cannot be renewed.
    is_renewal_failing: bool = False
    #: Time at which the last renewal that failed was sent.
    failed_at: float = float('-inf')

    @property
    def timeline(self) -> int:
        """Return the timeline of the store to which the home record belongs."""
        return timeline_of(self.epoch)

    def may_allocate(self, now: float) -> bool:
        """Check whether this home is the only one that can allocate units."""
        return self.allocates_from <= now < self.valid_until

    def may_order(self, now: float) -> bool:
        """Check whether this home may hold, order and reject requests.

        While the store is away, it goes on after its lease has run out. One
        that has not even tried to renew it was suspended: its order is stale,
        and another home may have followed.
        """
        if self.resigned:
            return False
        return now < self.valid_until or now < self.failed_at + RUNNING_SECONDS

    def resign(self) -> None:
        """End the tenure with immediate effect."""
        self.resigned = True
        self.valid_until = float('-inf')


def can_allocate(tenure: Tenure | None, now: float) -> bool:
    """Check whether a node currently may allocate shared units and grants."""
    return tenure is not None and tenure.may_allocate(now)
