"""Define the effects that the core asks its node to carry out.

The functions of the core return lists of these values and never perform I/O
themselves.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from spanfall_core.reasons import RefusalReason, RetryReason, RunState


@unique
class Right(StrEnum):
    """List what a request must acquire before its dispatch is sent.

    A permit or a claim gives this home the exclusive right to run it.
    """

    NONE = 'none'
    PERMIT = 'permit'
    CLAIM = 'claim'


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to an upstream once its right to run is granted.

    ``run`` numbers the dispatches of the request at this home, from one.
    """

    request_id: str
    upstream_id: str
    run: int
    right: Right = Right.NONE


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request with a refusal; ``retry_after`` is in seconds."""

    request_id: str
    reason: RefusalReason
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop the run of a request at an upstream without ending the request."""

    request_id: str
    upstream_id: str
    run: int


@dataclass(frozen=True, slots=True)
class Move:
    """Export the KV cache of a run from one upstream, import it at another."""

    request_id: str
    source_id: str
    target_id: str
    run: int


@dataclass(frozen=True, slots=True)
class Retried:
    """Report that a request was requeued."""

    request_id: str
    reason: RetryReason


Effect = Dispatch | Refuse | Stop | Move | Retried
