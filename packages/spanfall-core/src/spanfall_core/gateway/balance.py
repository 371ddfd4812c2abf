"""Choose the upstream with the least expected time to the first token.

The estimate is a sum of plain terms in seconds; each has a named weight.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.directory import ListedUpstream
from spanfall_core.gateway.loads import Loads
from spanfall_core.gateway.prefixes import PrefixIndex, PromptPart

#: Prompt tokens read a second, assumed until an engine is measured.
PREFILL_RATE = 60000.0
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


@dataclass(frozen=True, slots=True)
class Ask:
    """State what the choice for one request depends on."""

    attempt_id: str
    data_centre: str
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    #: Upstreams that were tried already.
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen upstream and what the choice rests on."""

    upstream: ListedUpstream
    seconds: float
    prefill: int


def choose(
    candidates: Iterable[ListedUpstream],
    ask: Ask,
    loads: Loads,
    prefixes: PrefixIndex,
    now: float,
) -> Choice | None:
    """Return the best upstream that was not tried yet, if any."""
    choices = (
        estimate(row, ask, loads, prefixes, now)
        for row in candidates
        if row.upstream_id not in ask.tried
    )
    return min(choices, key=lambda choice: choice.seconds, default=None)


def estimate(
    row: ListedUpstream,
    ask: Ask,
    loads: Loads,
    prefixes: PrefixIndex,
    now: float,
) -> Choice:
    """Estimate the seconds to the first token at one upstream."""
    cached = prefixes.cached_tokens(row.upstream_id, ask.parts)
    prefill = max(0, ask.prompt_tokens - cached)
    running = loads.running_at(row.upstream_id)
    seconds = _batch_seconds(row, running, ask) + row.warm_up / 10
    seconds += (loads.prefill_at(row.upstream_id) + prefill) / PREFILL_RATE
    seconds += loads.failures_at(row.upstream_id, now) * FAILURE_SECONDS
    if row.data_centre != ask.data_centre:
        seconds += FAR_SECONDS
    return Choice(row, seconds + _hash_seconds(row, ask), prefill)


def _batch_seconds(row: ListedUpstream, running: int, ask: Ask) -> float:
    slots = max(1, row.slots)
    if not ask.prompt_tokens:
        return CALL_SECONDS * running / slots + CALL_SECONDS * (
            max(0, running + 1 - slots) / slots
        )
    seconds = FULL_BATCH_SECONDS * running / slots
    return seconds + QUEUE_SECONDS * max(0, running + 1 - slots) / slots


def _hash_seconds(row: ListedUpstream, ask: Ask) -> float:
    """Prefer the same upstream for the same first part on every entry."""
    key = ask.parts[0].part_id if ask.parts else ask.attempt_id
    digest = xxh3_64_intdigest(f'{key}\0{row.upstream_id}'.encode())
    return HASH_SECONDS * digest / 2**64
