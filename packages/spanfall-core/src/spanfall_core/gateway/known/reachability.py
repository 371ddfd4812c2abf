"""Know which upstreams this entry reaches over its own connections.

Reachability is a fact of a pair, entry and upstream. An address counts as blocked
only while a peer reaches it and this entry does not; that an upstream is down is
no fact about the path to it.
"""

from dataclasses import dataclass, field
from math import inf

#: Blocked addresses from which an entry counts as cut off from all upstreams,
#: if it has connected to none since the first of them was blocked.
MIN_BLOCKED = 2


@dataclass(slots=True)
class Reachability:
    """Hold the blocked addresses of one entry."""

    #: Time of the steady clock at which each address was found blocked, oldest
    #: first.
    blocked: dict[str, float] = field(default_factory=dict)
    #: Time at which this entry last opened a connection to any upstream.
    reached_at: float = -inf

    @property
    def is_suspect(self) -> bool:
        """Return whether no connection was opened since a path was blocked."""
        return self.reached_at < max(self.blocked.values(), default=-inf)

    @property
    def is_cut(self) -> bool:
        """Return whether this entry seems to reach no upstream directly."""
        if len(self.blocked) < MIN_BLOCKED:
            return False
        return self.reached_at < min(self.blocked.values())

    def is_blocked(self, address: str) -> bool:
        """Return whether connections to an address should use a peer."""
        return address in self.blocked or self.is_cut

    def record_reached(self, address: str, now: float) -> None:
        """Record that this entry opened a connection to an address.

        A path that is back makes all others worth another try.
        """
        self.reached_at = now
        if address in self.blocked:
            self.blocked.clear()

    def record_blocked(self, address: str, now: float) -> None:
        """Record that a peer reached an address that this entry did not."""
        self.blocked.setdefault(address, now)

    def next_to_check(self) -> str | None:
        """Return the blocked address that was checked least recently."""
        address = next(iter(self.blocked), None)
        if address is not None:
            self.blocked[address] = self.blocked.pop(address)
        return address
