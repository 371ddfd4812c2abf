"""Estimate what a request costs at an upstream.

The estimate is a sum of plain terms in seconds; each has a named weight.
"""

from dataclasses import dataclass
from typing import Protocol

from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.prefixes import PromptPart

#: Seconds that a full batch adds to the wait for a first token.
FULL_BATCH_SECONDS = 0.25
#: Seconds that a request waits for each full batch queued before it.
QUEUED_BATCH_SECONDS = 1.5
#: Seconds that a plain call holds a slot, assumed until measured.
CALL_SECONDS = 0.1
#: Seconds that each recent failure of an upstream counts for.
FAILURE_PENALTY_SECONDS = 0.5
#: Seconds that another data centre counts for: its way and its price.
REMOTE_PENALTY_SECONDS = 0.004
#: Seconds of reading without a token that streams bear; while a prompt is
#: read, all streams of its upstream stand still.
TOLERATED_STALL_SECONDS = 0.25
#: Seconds that each second of a longer stall counts for, for each stream.
STALL_WEIGHT = 1.0


class UpstreamLoads(Protocol):
    """Tell what a choice has to know of each upstream."""

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run there, fleet wide."""

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that are still to be read there."""

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures there."""


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """State what the choice for one request depends on."""

    attempt_id: str
    data_centre: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Upstreams that were tried already.
    tried: frozenset[Lifetime] = frozenset()
    #: Name of the request at each attempt.
    identity: RequestIdentity = RequestIdentity('')
    #: Upstreams that want nothing from the entry that asks.
    avoided: frozenset[Lifetime] = frozenset()


def estimate(
    row: ListedUpstream,
    request: RoutingRequest,
    loads: UpstreamLoads,
    prefill: int,
    rate: float,
    now: float,
) -> float:
    """Estimate what a request costs at one upstream, in seconds.

    This is its time to the first token, and the time that the streams which
    run there stand still for it. ``rate`` is in tokens read a second.
    """
    lifetime = row.lifetime
    running = loads.running_at(lifetime)
    prefill_seconds = (loads.prefill_at(lifetime) + prefill) / rate
    seconds = (
        _batch_seconds(row, running, request)
        + row.warm_up / 10
        + prefill_seconds
    )
    if prefill_seconds > TOLERATED_STALL_SECONDS:
        seconds += (
            running * STALL_WEIGHT * (prefill_seconds - TOLERATED_STALL_SECONDS)
        )
    seconds += loads.failures_at(lifetime, now) * FAILURE_PENALTY_SECONDS
    if row.data_centre != request.data_centre:
        seconds += REMOTE_PENALTY_SECONDS
    return seconds


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
