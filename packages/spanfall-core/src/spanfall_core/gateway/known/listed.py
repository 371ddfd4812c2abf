"""Describe the upstreams that the platform lists."""

from dataclasses import dataclass

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
    #: Seconds until it stops, where the platform tells.
    leaves_in: float | None = None
    #: When it started, in milliseconds since 1970, where the platform tells.
    born: int | None = None
    #: Whether its entry names no upstream to use at the moment.
    paused: bool = False
    #: Whether it said in an answer that it leaves, whatever its entry says.
    said_leaving: bool = False

    @property
    def lifetime(self) -> Lifetime:
        """Name this lifetime."""
        return name_lifetime(self.upstream_id, self.born)

    @property
    def is_serving(self) -> bool:
        """Tell whether it may get new work."""
        return not (self.is_leaving or self.paused)

    @property
    def is_leaving(self) -> bool:
        """Tell whether it leaves, by its entry or by its own word."""
        return self.leaving or self.said_leaving


@dataclass(frozen=True, slots=True)
class UnusableRecord:
    """Say why an entry of the platform's list names no upstream to use."""

    upstream_id: str
    reason: str
