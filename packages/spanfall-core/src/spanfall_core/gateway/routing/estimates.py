"""Estimate the cost of a request at an upstream.

The estimate is a sum of terms in seconds, each with a named weight.
"""

from dataclasses import dataclass
from typing import Protocol

from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.prefixes import PromptPart

#: Seconds that a full batch adds to the time to the first token.
FULL_BATCH_SECONDS = 0.25
#: Seconds of wait for each full batch that is queued before a request.
QUEUED_BATCH_SECONDS = 1.5
#: Seconds that a call without a prompt is assumed to hold a slot.
CALL_SECONDS = 0.1
#: Seconds to the first token of a prompt besides its reading and the batch.
FIRST_STEP_SECONDS = 0.03
#: Penalty in seconds for each recent failure of an upstream.
FAILURE_PENALTY_SECONDS = 0.5
#: Penalty in seconds for another data centre: its latency and its price.
REMOTE_PENALTY_SECONDS = 0.004
#: Seconds without a token that streams tolerate. The prefill of a prompt stalls
#: all streams of its upstream.
TOLERATED_STALL_SECONDS = 0.25
#: Cost in seconds, per stream, of each second of stall beyond that.
STALL_WEIGHT = 1.0


class UpstreamLoads(Protocol):
    """Provide the loads of upstreams that a choice depends on."""

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run at an upstream, fleet-wide."""

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that an upstream has still to read."""

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures of an upstream."""

    def factor_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the duration of work there, relative to the usual."""


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Describe one request as far as the choice of an upstream needs it."""

    attempt_id: str
    data_centre: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Upstreams that were already tried.
    tried: frozenset[Lifetime] = frozenset()
    #: Identity of the request, the same for each attempt.
    identity: RequestIdentity = RequestIdentity('')
    #: Upstreams that asked this entry to back off.
    avoided: frozenset[Lifetime] = frozenset()
    #: Software version that the upstream must have, if only one can serve the
    #: request.
    software_version: str | None = None

    def may_reach(self, row: ListedUpstream) -> bool:
        """Return whether an upstream can serve the request, now or later."""
        if row.lifetime in self.tried:
            return False
        return self.software_version in {None, row.software_version}

    def allows(self, row: ListedUpstream) -> bool:
        """Return whether the request may be sent to an upstream now."""
        return row.lifetime not in self.avoided and self.may_reach(row)


@dataclass(frozen=True, slots=True)
class PrefillCosts:
    """State how long prompts take to read, and which stalls are charged."""

    #: Prefill speed in tokens per second of an upstream of the usual speed.
    rate: float
    #: Whether a request is only charged for the stall that it adds, without
    #: that of the prompts queued before it.
    is_own_stall: bool = False


def estimate(
    row: ListedUpstream,
    request: RoutingRequest,
    loads: UpstreamLoads,
    prefill: int,
    costs: PrefillCosts,
    now: float,
) -> float:
    """Estimate the cost of a request at one upstream, in seconds.

    This is its time to the first token plus the time for which it stalls the
    streams that run there.
    """
    rate = costs.rate
    lifetime = row.lifetime
    running = loads.running_at(lifetime)
    factor = loads.factor_at(lifetime, now)
    prefill_seconds = (loads.prefill_at(lifetime) + prefill) / rate * factor
    seconds = (
        _batch_seconds(row, running, request) * factor
        + row.warm_up / 10
        + prefill_seconds
    )
    seconds += excess_seconds(request, factor)
    stall = excess_stall(prefill_seconds)
    if stall and costs.is_own_stall:
        stall -= excess_stall(loads.prefill_at(lifetime) / rate * factor)
    seconds += running * STALL_WEIGHT * stall
    seconds += loads.failures_at(lifetime, now) * FAILURE_PENALTY_SECONDS
    if row.data_centre != request.data_centre:
        seconds += REMOTE_PENALTY_SECONDS
    return seconds


def excess_stall(prefill_seconds: float) -> float:
    """Return the seconds of a stall beyond what streams tolerate."""
    return max(0, prefill_seconds - TOLERATED_STALL_SECONDS)


def excess_seconds(request: RoutingRequest, factor: float) -> float:
    """Return how much longer an idle upstream takes than a usual one.

    Without this, all upstreams with no requests would cost the same.
    """
    own = FIRST_STEP_SECONDS if request.prompt_tokens else CALL_SECONDS
    return own * (factor - 1)


def _batch_seconds(
    row: ListedUpstream, running: int, request: RoutingRequest
) -> float:
    slots = max(1, row.slots)
    if not request.prompt_tokens:
        return CALL_SECONDS * running / slots + CALL_SECONDS * (
            max(0, running + 1 - slots) / slots
        )
    seconds = FULL_BATCH_SECONDS * running / slots
    return seconds + QUEUED_BATCH_SECONDS * max(0, running + 1 - slots) / slots
