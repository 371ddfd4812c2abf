"""Choose the upstream with the least expected time to the first token.

The estimate is a sum of plain terms in seconds; each has a named weight.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.directory import ListedUpstream
from spanfall_core.gateway.engine_model import ReadingSpeed
from spanfall_core.gateway.lifetimes import Lifetime
from spanfall_core.gateway.prefixes import PrefixIndex, PromptPart
from spanfall_core.gateway.sizes import PromptSizes

#: Seconds that a full batch adds to the wait for a first token.
FULL_BATCH_SECONDS = 0.25
#: Seconds that a request waits for each full batch queued before it.
QUEUE_SECONDS = 1.5
#: Seconds that a plain call holds a slot, assumed until measured.
CALL_SECONDS = 0.1
#: Seconds that each recent failure of an upstream counts for.
FAILURE_SECONDS = 0.5
#: Seconds that another data centre counts for: its way and its price.
FAR_SECONDS = 0.004
#: Seconds within which upstreams count as equal and the hash decides.
HASH_SECONDS = 0.01
#: Number of different hashes.
HASH_RANGE = 2**64
#: Part of a prompt's shared tokens that the upstream which the hash prefers
#: is expected to have read for another entry.
EXPECTED_CACHED = 0.7
#: Seconds that an engine counts for which is the whole row of engines away
#: from where prompts of this length belong: what a stream loses that meets a
#: long prompt, times how likely that is.
SIZE_SECONDS = 0.35
#: Seconds of reading without a token that streams bear; while a prompt is
#: read, all streams of its upstream stand still.
BEARABLE_STALL = 0.25
#: Seconds that each second of a longer stall counts for, for each stream.
STALL_WEIGHT = 1.0


class KnownLoads(Protocol):
    """Tell what a choice has to know of each upstream."""

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run there, fleet wide."""

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that are still to be read there."""

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures there."""


@dataclass(frozen=True, slots=True)
class Ask:
    """State what the choice for one request depends on."""

    attempt_id: str
    data_centre: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Upstreams that were tried already.
    tried: frozenset[Lifetime] = frozenset()


@dataclass(slots=True)
class PromptHistory:
    """Hold which prompts were read where, and how long they were."""

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    sizes: PromptSizes = field(default_factory=PromptSizes)
    #: How fast the engines of each service read, as the home learned.
    speeds: dict[str, ReadingSpeed] = field(default_factory=dict)

    def learn(self, ask: Ask, now: float) -> None:
        """Count the length of a prompt that is to be read."""
        if ask.prompt_tokens:
            self.sizes.learn(ask.prompt_tokens, now)

    def speed(self, service: str) -> ReadingSpeed:
        """Return how fast engines of a service read, as far as is known."""
        return self.speeds.get(service, ReadingSpeed())


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen upstream and what the choice rests on."""

    upstream: ListedUpstream
    seconds: float
    #: Prompt tokens to be read for the request, and those that wait there.
    prefill: int
    ahead: int = 0


def choose(
    candidates: Sequence[ListedUpstream],
    ask: Ask,
    loads: KnownLoads,
    prompts: PromptHistory,
    now: float,
) -> Choice | None:
    """Return the best upstream that was not tried yet, if any.

    ``candidates`` come in an order that all nodes share: the row in which
    prompts are placed by their length.
    """
    belongs = prompts.sizes.place(ask.prompt_tokens)
    hashes = _hash_parts(candidates, ask)
    preferred = max(hashes, default=0)
    best: tuple[float, int, int] | None = None
    for number, row in enumerate(candidates):
        if row.lifetime in ask.tried:
            continue
        prefill = _prefill(row, ask, prompts, hashes[number] == preferred)
        seconds = estimate(row, ask, loads, prefill, prompts, now)
        seconds -= HASH_SECONDS * hashes[number]
        if ask.prompt_tokens:
            place = (number + 0.5) / len(candidates)
            seconds += SIZE_SECONDS * abs(place - belongs)
        if best is None or seconds < best[0]:
            best = (seconds, number, prefill)
    if best is None:
        return None
    chosen = candidates[best[1]]
    ahead = loads.prefill_at(chosen.lifetime)
    return Choice(chosen, best[0], best[2], ahead)


def estimate(
    row: ListedUpstream,
    ask: Ask,
    loads: KnownLoads,
    prefill: int,
    prompts: PromptHistory,
    now: float,
) -> float:
    """Estimate what a request costs at one upstream, in seconds.

    This is its time to the first token, and the time that the streams which
    run there stand still for it.
    """
    running = loads.running_at(row.lifetime)
    waiting = loads.prefill_at(row.lifetime) + prefill
    reading = waiting / prompts.speed(row.service).rate
    seconds = _batch_seconds(row, running, ask) + row.warm_up / 10 + reading
    seconds += running * STALL_WEIGHT * max(0, reading - BEARABLE_STALL)
    seconds += loads.failures_at(row.lifetime, now) * FAILURE_SECONDS
    if row.data_centre != ask.data_centre:
        seconds += FAR_SECONDS
    return seconds


def _prefill(
    row: ListedUpstream,
    ask: Ask,
    prompts: PromptHistory,
    is_preferred: bool,
) -> int:
    """Return the prompt tokens that an upstream is expected to read."""
    cached = prompts.prefixes.cached_tokens(row.lifetime, ask.parts)
    if is_preferred:
        cached = max(cached, _expected_cached(ask))
    return max(0, ask.prompt_tokens - cached)


def _expected_cached(ask: Ask) -> int:
    """Return the tokens that other requests are likely to share."""
    shared = sum(part.tokens for part in ask.parts[:-1])
    return int(shared * EXPECTED_CACHED)


def _batch_seconds(row: ListedUpstream, running: int, ask: Ask) -> float:
    slots = max(1, row.slots)
    if not ask.prompt_tokens:
        return CALL_SECONDS * running / slots + CALL_SECONDS * (
            max(0, running + 1 - slots) / slots
        )
    seconds = FULL_BATCH_SECONDS * running / slots
    return seconds + QUEUE_SECONDS * max(0, running + 1 - slots) / slots


def _hash_parts(
    candidates: Sequence[ListedUpstream],
    ask: Ask,
) -> list[float]:
    """Prefer the same upstream for the same shared prompt on every entry.

    Return a part from 0 to 1 for each candidate.
    """
    key = ask.attempt_id
    if len(ask.parts) > 1:
        # The last part is the request's own, the one before is shared.
        key = ask.parts[-2].part_id
    seed = xxh3_64_intdigest(key.encode())
    return [
        xxh3_64_intdigest(row.lifetime.encode(), seed) / HASH_RANGE
        for row in candidates
    ]
