"""Decide which shared prompt parts are worth a further copy.

An upstream that has not read a part reads it for the first request, and holds
a copy from then on. A part gets as many copies as its heat fills upstreams. A
further one takes time from other requests, which the estimate for the request
alone does not show, and is charged for that.
"""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from itertools import accumulate, islice

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.prefix_heat import PrefixHeat
from spanfall_core.gateway.known.prefixes import Holders, PrefixIndex
from spanfall_core.gateway.routing.estimates import (
    FULL_BATCH_SECONDS,
    TOLERATED_STALL_SECONDS,
    RoutingRequest,
    UpstreamLoads,
)
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.shortlist import FULL_SEARCH_LIMIT

#: Utilisation up to which a copy counts as enough for the requests of a part.
#: Above it the wait at one upstream grows faster than its throughput.
USEFUL_UTILISATION = 0.6
#: Cost of reading a part once more than its heat pays for, in times of its
#: duration: it delays requests behind it by as long, and drops as many tokens
#: of other parts from the cache, which are then read again.
EXCESS_READ_WEIGHT = 2.0
#: Maximum number of holders of a part whose speed is looked up.
MAX_HOLDERS_SAMPLED = 8


@dataclass(frozen=True, slots=True)
class CopiedPart:
    """Represent a part that as many upstreams hold as its heat pays for."""

    tokens: int
    #: Tokens of the prompt up to the end of the part.
    end: int


CopiedParts = tuple[CopiedPart, ...]


def copied_parts(
    candidates: Sequence[ListedUpstream],
    request: RoutingRequest,
    loads: UpstreamLoads,
    prompts: PromptHistory,
    now: float,
) -> CopiedParts:
    """Return the shared parts of a prompt that need no further copy.

    There are none where heat is not tracked or there is nothing to choose.
    """
    if len(candidates) < 2:
        return ()
    heat = prompts.heats.get(candidates[0].service)
    if heat is None:
        return ()
    listed = _lifetimes(candidates, prompts)

    def capacity(lifetime: Lifetime) -> float:
        return 1 / loads.factor_at(lifetime, now) if lifetime in listed else 0

    shared = request.parts[:-1]
    ends = accumulate(part.tokens for part in shared)
    return tuple(
        CopiedPart(part.tokens, end)
        for part, end in zip(shared, ends, strict=True)
        if has_enough_copies(
            prompts.prefixes.holders_of(part),
            heat.heat(part.part_id, now),
            capacity,
        )
    )


def _lifetimes(
    candidates: Sequence[ListedUpstream], prompts: PromptHistory
) -> Container[Lifetime]:
    """Return the lifetimes of the candidates, in a large service known ones."""
    if len(candidates) > FULL_SEARCH_LIMIT:
        return prompts.shortlist(candidates).index_by_lifetime
    return {row.lifetime for row in candidates}


def has_enough_copies(
    holders: Holders,
    heat: float,
    capacity: Callable[[Lifetime], float],
) -> bool:
    """Return whether the holders of a part can serve its requests.

    ``capacity`` returns how many upstreams of the usual speed one does the work
    of, 0 if it is not listed any more. Of many holders it is that of the latest
    ones that counts for the others as well.
    """
    needed = heat / USEFUL_UTILISATION
    held = 0.0
    sampled = 0
    for lifetime in islice(reversed(holders), MAX_HOLDERS_SAMPLED):
        held += capacity(lifetime)
        sampled += 1
        if held and held >= needed:
            return True
    return held > 0 and held / sampled * len(holders) >= needed


def excess_tokens(cached: int, copied: CopiedParts) -> int:
    """Return the tokens of copied parts that an upstream would read.

    ``cached`` is the number of leading tokens that it holds.
    """
    return sum(part.tokens for part in copied if cached < part.end)


def excess_read_seconds(tokens: int, rate: float) -> float:
    """Return the cost of reading tokens of which there are enough copies.

    Callers never wait longer than streams may stall to avoid such a copy.
    """
    return min(TOLERATED_STALL_SECONDS, EXCESS_READ_WEIGHT * tokens / rate)


def record_heat(
    heat: PrefixHeat,
    request: RoutingRequest,
    slots: int,
    prefill_seconds: float,
    rate: float,
    now: float,
) -> None:
    """Add the work of a request to the heat of the shared parts of its prompt.

    Reading the part itself does not count, since a holder does not read it.
    """
    batch_seconds = FULL_BATCH_SECONDS / max(1, slots)
    ends = accumulate(part.tokens for part in request.parts)
    for part, end in zip(request.parts[:-1], ends, strict=False):
        later_seconds = max(0, request.prompt_tokens - end) / rate
        seconds = batch_seconds + min(prefill_seconds, later_seconds)
        heat.record(part.part_id, seconds, now)


def tokens_read_again(
    prefixes: PrefixIndex, lifetime: Lifetime, request: RoutingRequest
) -> int:
    """Return the tokens that an upstream reads though others hold them."""
    shared = request.parts[:-1]
    cached = prefixes.cached_tokens(lifetime, shared)
    ends = accumulate(part.tokens for part in shared)
    return sum(
        part.tokens
        for part, end in zip(shared, ends, strict=True)
        if cached < end and prefixes.holders_of(part)
    )
