"""Choose the upstream with the least expected time to the first token.

Among many upstreams only those are estimated that can win (``shortlist.py``).
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.directory import ring_position
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.prefixes import PrefixIndex
from spanfall_core.gateway.routing.estimates import (
    BEARABLE_STALL,
    FAILURE_SECONDS,
    FULL_BATCH_SECONDS,
    QUEUE_SECONDS,
    STALL_WEIGHT,
    Ask,
    KnownLoads,
    estimate,
)
from spanfall_core.gateway.routing.shortlist import FULL_SEARCH, Shortlist
from spanfall_core.gateway.routing.sizes import PromptSizes

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
#: Seconds of reading of the long prompt that stands for all of them where
#: upstreams are compared.
LONG_READING = 0.5
#: Seconds that an upstream which may get nothing counts for among many.
WITHHELD_SECONDS = 1e6
#: No upstream, where all may get the request.
NONE_WITHHELD: AbstractSet[Lifetime] = frozenset()


@dataclass(slots=True)
class PromptHistory:
    """Hold which prompts were read where, and how long they were."""

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    sizes: PromptSizes = field(default_factory=PromptSizes)
    #: How fast the engines of each service read, as the home learned.
    speeds: dict[str, PrefillSpeed] = field(default_factory=dict)
    _shortlists: dict[str, Shortlist[ListedUpstream]] = field(
        default_factory=dict,
    )

    def learn(self, ask: Ask, now: float) -> None:
        """Count the length of a prompt that is to be read."""
        if ask.prompt_tokens:
            self.sizes.learn(ask.prompt_tokens, now)

    def speed(self, service: str) -> PrefillSpeed:
        """Return how fast engines of a service read, as far as is known."""
        return self.speeds.get(service, PrefillSpeed())

    def shortlist(
        self,
        rows: Sequence[ListedUpstream],
    ) -> Shortlist[ListedUpstream]:
        """Return what is known of the load of these upstreams."""
        service = rows[0].service
        known = self._shortlists.get(service)
        if known is None or known.rows is not rows:
            digests = [ring_position(row.lifetime) for row in rows]
            numbers = {row.lifetime: at for at, row in enumerate(rows)}
            known = Shortlist(rows, digests, numbers)
            self._shortlists[service] = known
        return known


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen upstream and what the choice rests on."""

    upstream: ListedUpstream
    seconds: float
    #: Prompt tokens to be read for the request, and those that wait there.
    prefill: int
    ahead: int = 0
    #: Whether an upstream has ended under the request before.
    is_watched: bool = False


@dataclass(frozen=True, slots=True)
class Search:
    """Hold what a choice rests on."""

    candidates: Sequence[ListedUpstream]
    ask: Ask
    loads: KnownLoads
    prompts: PromptHistory
    now: float
    #: Seed of the hashes by which all entries prefer the same upstream.
    seed: int
    #: Where in the row a prompt of this length belongs, from 0 to 1.
    place: float
    #: Tokens of prompts that an upstream reads in a second.
    rate: float
    #: Upstreams that may get nothing now.
    withheld: AbstractSet[Lifetime] = NONE_WITHHELD

    def best(self, numbers: Iterable[int], preferred: int) -> Choice | None:
        """Return the best of some candidates that were not tried yet."""
        best: tuple[float, int, int] | None = None
        for number in numbers:
            row = self.candidates[number]
            if not self.may_get(row.lifetime):
                continue
            prefill = _prefill(row, self.ask, self.prompts, number == preferred)
            seconds = self._seconds(row, number, prefill)
            if best is None or seconds < best[0]:
                best = (seconds, number, prefill)
        if best is None:
            return None
        chosen = self.candidates[best[1]]
        ahead = self.loads.prefill_at(chosen.lifetime)
        return Choice(chosen, best[0], best[2], ahead)

    def may_get(self, lifetime: Lifetime) -> bool:
        """Tell whether the request may go to an upstream."""
        ask = self.ask
        if lifetime in ask.tried or lifetime in ask.avoided:
            return False
        return lifetime not in self.withheld

    def hash_part(self, number: int) -> float:
        """Return a part from 0 to 1 for a candidate."""
        lifetime = self.candidates[number].lifetime
        return xxh3_64_intdigest(lifetime.encode(), self.seed) / HASH_RANGE

    def _seconds(
        self,
        row: ListedUpstream,
        number: int,
        prefill: int,
    ) -> float:
        ask = self.ask
        seconds = estimate(
            row,
            ask,
            self.loads,
            prefill,
            self.rate,
            self.now,
        )
        seconds -= HASH_SECONDS * self.hash_part(number)
        if ask.prompt_tokens:
            place = (number + 0.5) / len(self.candidates)
            seconds += SIZE_SECONDS * abs(place - self.place)
        return seconds


def choose(
    candidates: Sequence[ListedUpstream],
    ask: Ask,
    loads: KnownLoads,
    prompts: PromptHistory,
    now: float,
    withheld: AbstractSet[Lifetime] = NONE_WITHHELD,
) -> Choice | None:
    """Return the best upstream that was not tried yet, if any.

    ``candidates`` come in an order that all nodes share: the row in which
    prompts are placed by their length. Those ``withheld`` may get nothing.
    """
    if _is_all_withheld(candidates, withheld):
        return None
    place = prompts.sizes.place(ask.prompt_tokens)
    rate = prompts.speed(candidates[0].service).rate if candidates else 1
    search = Search(
        candidates,
        ask,
        loads,
        prompts,
        now,
        _seed(ask),
        place,
        rate,
        withheld,
    )
    if len(candidates) > FULL_SEARCH:
        found = _choose_of_many(search)
        if found is not None:
            return found
    return choose_of_all(search)


def _is_all_withheld(
    candidates: Sequence[ListedUpstream],
    withheld: AbstractSet[Lifetime],
) -> bool:
    """Tell whether none may get anything, without an estimate of each."""
    if len(withheld) < len(candidates):
        return False
    return all(row.lifetime in withheld for row in candidates)


def choose_of_all(search: Search) -> Choice | None:
    """Ask each candidate."""
    numbers = range(len(search.candidates))
    preferred = max(numbers, key=search.hash_part, default=-1)
    return search.best(numbers, preferred)


def _choose_of_many(search: Search) -> Choice | None:
    """Estimate only the candidates that can win."""
    ask = search.ask
    shortlist = search.prompts.shortlist(search.candidates)
    if shortlist.is_old(search.now):
        _find_loads(shortlist, search)
    preferred = shortlist.preferred(search.seed)
    numbers = shortlist.numbers(
        search.place,
        SIZE_SECONDS if ask.prompt_tokens else 0,
        search.prompts.prefixes.holders(ask.parts),
        is_long=ask.prompt_tokens / search.rate > BEARABLE_STALL,
    )
    numbers.add(preferred)
    found = search.best(numbers, preferred)
    if found is not None:
        slots = max(1, found.upstream.slots)
        added = FULL_BATCH_SECONDS / slots + found.prefill / search.rate
        shortlist.use(found.upstream.lifetime, added)
    return found


def _find_loads(
    shortlist: Shortlist[ListedUpstream],
    search: Search,
) -> None:
    """Find what a short and a long prompt would lose at each."""
    loads, now, rate = search.loads, search.now, search.rate
    long_stall = LONG_READING - BEARABLE_STALL

    def weigh(lifetime: Lifetime, row: ListedUpstream) -> tuple[float, float]:
        running = loads.running_at(lifetime)
        reading = loads.prefill_at(lifetime) / rate
        short = FULL_BATCH_SECONDS * running / row.slots + reading
        short += loads.failures_at(lifetime, now) * FAILURE_SECONDS
        if running >= row.slots:
            short += QUEUE_SECONDS * (running + 1 - row.slots) / row.slots
        if row.warm_up:
            short += row.warm_up / 10
        if lifetime in search.withheld:
            short += WITHHELD_SECONDS
        return short, short + running * STALL_WEIGHT * (reading + long_stall)

    shortlist.find(weigh, now)


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


def _seed(ask: Ask) -> int:
    """Return a number that is the same for the same shared prompt."""
    key = ask.attempt_id
    if len(ask.parts) > 1:
        # The last part is the request's own, the one before is shared.
        key = ask.parts[-2].part_id
    return xxh3_64_intdigest(key.encode())
