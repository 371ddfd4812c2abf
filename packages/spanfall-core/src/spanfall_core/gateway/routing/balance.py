"""Choose the upstream with the least expected time to the first token.

Among many upstreams only those are estimated that can win (``shortlist.py``).
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.directory import place_on_ring
from spanfall_core.gateway.known.engine_model import ReadingSpeed
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.prefixes import PrefixIndex
from spanfall_core.gateway.routing.estimates import (
    FAILURE_PENALTY_SECONDS,
    FULL_BATCH_SECONDS,
    QUEUED_BATCH_SECONDS,
    STALL_WEIGHT,
    TOLERATED_STALL_SECONDS,
    RoutingRequest,
    UpstreamLoads,
    estimate,
)
from spanfall_core.gateway.routing.shortlist import FULL_SEARCH_LIMIT, Shortlist
from spanfall_core.gateway.routing.sizes import PromptSizes

#: Seconds within which upstreams count as equal and the hash decides.
HASH_TIE_SECONDS = 0.01
#: Number of different hashes.
HASH_RANGE = 2**64
#: Part of a prompt's shared tokens that the upstream which the hash prefers
#: is expected to have read for another entry.
EXPECTED_CACHED_FRACTION = 0.7
#: Seconds that an engine counts for which is the whole row of engines away
#: from where prompts of this length belong: what a stream loses that meets a
#: long prompt, times how likely that is.
LENGTH_MISMATCH_SECONDS = 0.35
#: Seconds of reading of the long prompt that stands for all of them where
#: upstreams are compared.
LONG_PREFILL_SECONDS = 0.5
#: Seconds that an upstream which may get nothing counts for among many.
WITHHELD_PENALTY_SECONDS = 1e6
#: No upstream, where all may get the request.
NONE_WITHHELD: AbstractSet[Lifetime] = frozenset()


@dataclass(slots=True)
class PromptHistory:
    """Hold which prompts were read where, and how long they were."""

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    sizes: PromptSizes = field(default_factory=PromptSizes)
    #: How fast the engines of each service read, as the home learned.
    speeds: dict[str, ReadingSpeed] = field(default_factory=dict)
    _shortlists: dict[str, Shortlist[ListedUpstream]] = field(
        default_factory=dict,
    )

    def learn(self, request: RoutingRequest, now: float) -> None:
        """Count the length of a prompt that is to be read."""
        if request.prompt_tokens:
            self.sizes.learn(request.prompt_tokens, now)

    def speed(self, service: str) -> ReadingSpeed:
        """Return how fast engines of a service read, as far as is known."""
        return self.speeds.get(service, ReadingSpeed())

    def shortlist(
        self,
        rows: Sequence[ListedUpstream],
    ) -> Shortlist[ListedUpstream]:
        """Return what is known of the load of these upstreams."""
        service = rows[0].service
        known = self._shortlists.get(service)
        if known is None or known.rows is not rows:
            digests = [place_on_ring(row.lifetime) for row in rows]
            indices = {row.lifetime: at for at, row in enumerate(rows)}
            known = Shortlist(rows, digests, indices)
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
    request: RoutingRequest
    loads: UpstreamLoads
    prompts: PromptHistory
    now: float
    #: Seed of the hashes by which all entries prefer the same upstream.
    seed: int
    #: Where in the row a prompt of this length belongs, from 0 to 1.
    position: float
    #: Tokens of prompts that an upstream reads in a second.
    rate: float
    #: Upstreams that may get nothing now.
    withheld: AbstractSet[Lifetime] = NONE_WITHHELD

    def best(self, indices: Iterable[int], preferred: int) -> Choice | None:
        """Return the best of some candidates that were not tried yet."""
        best: tuple[float, int, int] | None = None
        for index in indices:
            row = self.candidates[index]
            if not self.is_eligible(row.lifetime):
                continue
            prefill = _prefill(
                row, self.request, self.prompts, index == preferred
            )
            seconds = self._expected_seconds(row, index, prefill)
            if best is None or seconds < best[0]:
                best = (seconds, index, prefill)
        if best is None:
            return None
        chosen = self.candidates[best[1]]
        ahead = self.loads.prefill_at(chosen.lifetime)
        return Choice(chosen, best[0], best[2], ahead)

    def is_eligible(self, lifetime: Lifetime) -> bool:
        """Tell whether the request may go to an upstream."""
        request = self.request
        if lifetime in request.tried or lifetime in request.avoided:
            return False
        return lifetime not in self.withheld

    def hash_fraction(self, index: int) -> float:
        """Return a part from 0 to 1 for a candidate."""
        lifetime = self.candidates[index].lifetime
        return xxh3_64_intdigest(lifetime.encode(), self.seed) / HASH_RANGE

    def _expected_seconds(
        self,
        row: ListedUpstream,
        index: int,
        prefill: int,
    ) -> float:
        request = self.request
        seconds = estimate(
            row,
            request,
            self.loads,
            prefill,
            self.rate,
            self.now,
        )
        seconds -= HASH_TIE_SECONDS * self.hash_fraction(index)
        if request.prompt_tokens:
            position = (index + 0.5) / len(self.candidates)
            seconds += LENGTH_MISMATCH_SECONDS * abs(position - self.position)
        return seconds


def choose(
    candidates: Sequence[ListedUpstream],
    request: RoutingRequest,
    loads: UpstreamLoads,
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
    position = prompts.sizes.position(request.prompt_tokens)
    rate = prompts.speed(candidates[0].service).rate if candidates else 1
    search = Search(
        candidates,
        request,
        loads,
        prompts,
        now,
        _seed(request),
        position,
        rate,
        withheld,
    )
    if len(candidates) > FULL_SEARCH_LIMIT:
        found = _choose_from_shortlist(search)
        if found is not None:
            return found
    return choose_from_all(search)


def _is_all_withheld(
    candidates: Sequence[ListedUpstream],
    withheld: AbstractSet[Lifetime],
) -> bool:
    """Tell whether none may get anything, without an estimate of each."""
    if len(withheld) < len(candidates):
        return False
    return all(row.lifetime in withheld for row in candidates)


def choose_from_all(search: Search) -> Choice | None:
    """Ask each candidate."""
    indices = range(len(search.candidates))
    preferred = max(indices, key=search.hash_fraction, default=-1)
    return search.best(indices, preferred)


def _choose_from_shortlist(search: Search) -> Choice | None:
    """Estimate only the candidates that can win."""
    request = search.request
    shortlist = search.prompts.shortlist(search.candidates)
    if shortlist.is_stale(search.now):
        _refresh_loads(shortlist, search)
    preferred = shortlist.preferred(search.seed)
    indices = shortlist.select(
        search.position,
        LENGTH_MISMATCH_SECONDS if request.prompt_tokens else 0,
        search.prompts.prefixes.holders(request.parts),
        is_long=request.prompt_tokens / search.rate > TOLERATED_STALL_SECONDS,
    )
    indices.add(preferred)
    found = search.best(indices, preferred)
    if found is not None:
        slots = max(1, found.upstream.slots)
        added = FULL_BATCH_SECONDS / slots + found.prefill / search.rate
        shortlist.record_choice(found.upstream.lifetime, added)
    return found


def _refresh_loads(
    shortlist: Shortlist[ListedUpstream],
    search: Search,
) -> None:
    """Find what a short and a long prompt would lose at each."""
    loads, now, rate = search.loads, search.now, search.rate
    long_stall = LONG_PREFILL_SECONDS - TOLERATED_STALL_SECONDS

    def weigh(lifetime: Lifetime, row: ListedUpstream) -> tuple[float, float]:
        running = loads.running_at(lifetime)
        prefill_seconds = loads.prefill_at(lifetime) / rate
        short = FULL_BATCH_SECONDS * running / row.slots + prefill_seconds
        short += loads.failures_at(lifetime, now) * FAILURE_PENALTY_SECONDS
        if running >= row.slots:
            short += (
                QUEUED_BATCH_SECONDS * (running + 1 - row.slots) / row.slots
            )
        if row.warm_up:
            short += row.warm_up / 10
        if lifetime in search.withheld:
            short += WITHHELD_PENALTY_SECONDS
        return short, short + running * STALL_WEIGHT * (
            prefill_seconds + long_stall
        )

    shortlist.refresh(weigh, now)


def _prefill(
    row: ListedUpstream,
    request: RoutingRequest,
    prompts: PromptHistory,
    is_preferred: bool,
) -> int:
    """Return the prompt tokens that an upstream is expected to read."""
    cached = prompts.prefixes.cached_tokens(row.lifetime, request.parts)
    if is_preferred:
        cached = max(cached, _expected_cached(request))
    return max(0, request.prompt_tokens - cached)


def _expected_cached(request: RoutingRequest) -> int:
    """Return the tokens that other requests are likely to share."""
    shared = sum(part.tokens for part in request.parts[:-1])
    return int(shared * EXPECTED_CACHED_FRACTION)


def _seed(request: RoutingRequest) -> int:
    """Return a number that is the same for the same shared prompt."""
    key = request.attempt_id
    if len(request.parts) > 1:
        # The last part is the request's own, the one before is shared.
        key = request.parts[-2].part_id
    return xxh3_64_intdigest(key.encode())
