"""Hold a node's own time as home."""

from dataclasses import dataclass

from spanfall_core.gateway.known.timelines import timeline_of


def home_key(timeline: int) -> str:
    """Return the key of the record that names the home.

    Each timeline of the store has its own: a call under the condition of an
    earlier one can't meet the same revision of a later record.
    """
    return f'spanfall/home/{timeline}'


@dataclass(slots=True)
class Tenure:
    """Hold this node's own time as home."""

    #: Revision of its record, with the timeline: the fencing token.
    epoch: int
    lease: int
    #: Steady time until which the lease is certain to last.
    valid_until: float
    #: When the last renewal was sent that was answered.
    renewed_at: float
    began_at: float
    #: From when on it may give units of limits: the home before may have lived
    #: on until then.
    allocates_from: float = float('-inf')
    #: Whether no node of this fleet was ever the home before.
    is_first: bool = False
    #: Whether it gave up its record and only answers until there is another.
    resigned: bool = False
    #: Whether it cannot renew its lease.
    is_renewal_failing: bool = False

    @property
    def timeline(self) -> int:
        """Return the timeline of the store on which it holds the record."""
        return timeline_of(self.epoch)

    def may_allocate(self, now: float) -> bool:
        """Tell whether no other node can give units of the limits."""
        return self.allocates_from <= now < self.valid_until

    def resign(self) -> None:
        """Act no more from now on."""
        self.resigned = True
        self.valid_until = float('-inf')


def can_allocate(tenure: Tenure | None, now: float) -> bool:
    """Tell whether a node alone may give what all share."""
    return tenure is not None and tenure.may_allocate(now)
