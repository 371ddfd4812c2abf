"""Define what a system asks its node to do.

Systems return lists of these values; they never perform I/O themselves.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from spanfall_core.reasons import RefusalReason, RetryReason, RunState


@unique
class Right(StrEnum):
    """Say which right to run a request needs before its dispatch."""

    NONE = 'none'
    PERMIT = 'permit'
    CLAIM = 'claim'


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream, once its right to run is granted.

    ``run`` numbers the dispatches of the request at this home, from one.
    """

    request_id: str
    upstream_id: str
    run: int
    right: Right = Right.NONE


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request without an answer; ``retry_after`` is in seconds."""

    request_id: str
    reason: RefusalReason
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop the run of a request at an upstream, keeping the request."""

    request_id: str
    upstream_id: str
    run: int


@dataclass(frozen=True, slots=True)
class Move:
    """Export the state of a run from one upstream and import it at another."""

    request_id: str
    source_id: str
    target_id: str
    run: int


@dataclass(frozen=True, slots=True)
class Retried:
    """Report that a request returned to the queue."""

    request_id: str
    reason: RetryReason


Effect = Dispatch | Refuse | Stop | Move | Retried
