"""Describe the upstreams that the platform lists."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.lifetimes import Lifetime, name_lifetime


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Describe one lifetime of an upstream as the platform lists it."""

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    reclaimable: bool = False
    warm_up: float = 0
    #: Seconds until it stops, if the platform reports it.
    leaves_in: float | None = None
    #: Start time in milliseconds since 1970, if the platform reports it.
    born: int | None = None
    #: Version of its software, or None if its record states none.
    software_version: str | None = None
    #: Whether its current record is unusable.
    paused: bool = False
    #: Whether it stated in an answer that it is leaving, whatever its record
    #: says.
    said_leaving: bool = False
    #: Revision of the last write of its record; it rises with each heartbeat,
    #: so a row that differs only in it is the same.
    written: int = field(default=0, compare=False)

    @property
    def lifetime(self) -> Lifetime:
        """Return the name of this lifetime."""
        return name_lifetime(self.upstream_id, self.born)

    @property
    def is_serving(self) -> bool:
        """Return whether it may receive new work."""
        return not (self.is_leaving or self.paused)

    @property
    def is_leaving(self) -> bool:
        """Return whether it is leaving, by its record or its statement."""
        return self.leaving or self.said_leaving


def ring_position(row: ListedUpstream) -> int:
    """Return the position of a lifetime on the hash ring of all nodes."""
    return xxh3_64_intdigest(row.lifetime.encode())


@dataclass(frozen=True, slots=True)
class UnusableRecord:
    """State why a record in the platform's list cannot be used."""

    upstream_id: str
    reason: str
