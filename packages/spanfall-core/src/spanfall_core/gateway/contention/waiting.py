"""Describe the requests that compete for the upstreams of a service.

All times are in seconds.
"""

from dataclasses import dataclass

#: Number of priorities of workspaces and of routes; 0 is the most urgent.
PRIORITIES = 10
#: Units of a call without a prompt.
CALL_UNITS = 1


@dataclass(frozen=True, slots=True)
class Asker:
    """Name the request that an entry asks for."""

    entry_key: str
    #: Identity of the request, the same for each attempt.
    identity: str


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """State what an entry knows of a request, with each ask."""

    workspace: str
    #: Share of the workspace relative to others of the same urgency.
    weight: float
    #: Urgency from ``urgency``; 0 is the most urgent.
    priority: int
    #: Prompt tokens to read plus tokens to generate, or 1 for a call.
    units: float
    #: Seconds left to the latency target.
    target_in: float
    #: Seconds left to the deadline.
    deadline_in: float
    #: Seconds for which the request was held before this ask.
    waited: float = 0
    #: Ticket under which the request is held, or 0.
    ticket: int = 0

    @property
    def has_own_identity(self) -> bool:
        """Return whether no other request has this one's identity.

        Calls without a prompt are often equal to others of their workspace.
        """
        return self.units > CALL_UNITS


def urgency(workspace_priority: int | None, route_priority: int) -> int:
    """Return the urgency of a request; 0 is the most urgent.

    The priority of the workspace, if it has one, precedes that of the route,
    which decides between requests of equal workspaces.
    """
    route = _clamp(route_priority)
    first = route
    if workspace_priority is not None:
        first = _clamp(workspace_priority)
    return first * PRIORITIES + route


def _clamp(priority: int) -> int:
    return min(PRIORITIES - 1, max(0, priority))
