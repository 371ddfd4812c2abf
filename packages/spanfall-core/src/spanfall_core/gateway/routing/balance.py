"""Choose the upstream with the least expected time to the first token.

In a large service only a shortlist of upstreams is estimated
(``shortlist.py``).
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.routing.copies import (
    CopiedParts,
    copied_parts,
    excess_read_seconds,
    excess_tokens,
)
from spanfall_core.gateway.routing.estimates import (
    FAILURE_PENALTY_SECONDS,
    FULL_BATCH_SECONDS,
    QUEUED_BATCH_SECONDS,
    STALL_WEIGHT,
    TOLERATED_STALL_SECONDS,
    PrefillCosts,
    RoutingRequest,
    UpstreamLoads,
    estimate,
    excess_seconds,
)
from spanfall_core.gateway.routing.expected_prefill import expected_prefill
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.shortlist import FULL_SEARCH_LIMIT, Shortlist

#: Seconds of difference within which the hash decides between upstreams.
HASH_TIE_SECONDS = 0.01
#: Number of possible hash values.
HASH_RANGE = 2**64
#: Penalty in seconds for an engine at the opposite end of the row from the
#: position of prompts of this length: the delay of a stream that meets a long
#: prompt, times the probability of that.
LENGTH_MISMATCH_SECONDS = 0.35
#: Seconds of prefill of the long prompt that represents all long prompts when
#: upstreams are compared.
LONG_PREFILL_SECONDS = 0.5
#: Penalty in seconds for a withheld upstream on the shortlist.
WITHHELD_PENALTY_SECONDS = 1e6
#: Empty set for the case that no upstream is withheld.
NONE_WITHHELD: AbstractSet[Lifetime] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Hold the chosen upstream and the estimates behind the choice."""

    upstream: ListedUpstream
    seconds: float
    #: Prompt tokens to be read for the request, and those queued before it.
    prefill: int
    ahead: int = 0
    #: Whether an upstream has crashed under the request before.
    is_watched: bool = False
    #: Prompt tokens to be read for the request of which there are enough copies.
    excess: int = 0
    #: Whether the home made the choice.
    is_granted: bool = False
    #: Whether the request is tried alone, as it may crash the upstream.
    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class Search:
    """Hold the inputs of a choice."""

    candidates: Sequence[ListedUpstream]
    request: RoutingRequest
    loads: UpstreamLoads
    prompts: PromptHistory
    now: float
    #: Hash seed that makes all entries prefer the same upstream.
    seed: int
    #: Position in the row for prompts of this length, from 0 to 1.
    position: float
    #: Requests wait where the parts of their prompt are while copies of them
    #: are limited. Each is then only charged for its own stall.
    costs: PrefillCosts
    #: Upstreams that may not be sent anything now.
    withheld: AbstractSet[Lifetime] = NONE_WITHHELD
    #: Parts of the prompt that need no further copy.
    copied: CopiedParts = ()

    def best(self, indices: Iterable[int], preferred: int) -> Choice | None:
        """Return the best eligible one of some candidates, if any."""
        best: tuple[float, int, int, int] | None = None
        for index in indices:
            row = self.candidates[index]
            if not self.is_eligible(row):
                continue
            cached = self.prompts.prefixes.cached_tokens(
                row.lifetime, self.request.parts
            )
            prefill = expected_prefill(
                self.request, cached, is_preferred=index == preferred
            )
            excess = excess_tokens(cached, self.copied)
            seconds = self._expected_seconds(row, index, prefill, excess)
            if best is None or seconds < best[0]:
                best = (seconds, index, prefill, excess)
        if best is None:
            return None
        chosen = self.candidates[best[1]]
        ahead = self.loads.prefill_at(chosen.lifetime)
        return Choice(chosen, best[0], best[2], ahead, excess=best[3])

    def is_eligible(self, row: ListedUpstream) -> bool:
        """Return whether the request may be sent to an upstream."""
        return self.request.allows(row) and row.lifetime not in self.withheld

    def hash_fraction(self, index: int) -> float:
        """Return the hash of a candidate, scaled to a fraction from 0 to 1."""
        lifetime = self.candidates[index].lifetime
        return xxh3_64_intdigest(lifetime.encode(), self.seed) / HASH_RANGE

    def _expected_seconds(
        self,
        row: ListedUpstream,
        index: int,
        prefill: int,
        excess: int,
    ) -> float:
        request = self.request
        seconds = estimate(
            row,
            request,
            self.loads,
            prefill,
            self.costs,
            self.now,
        )
        seconds -= HASH_TIE_SECONDS * self.hash_fraction(index)
        if request.prompt_tokens:
            position = (index + 0.5) / len(self.candidates)
            seconds += LENGTH_MISMATCH_SECONDS * abs(position - self.position)
        if excess:
            factor = self.loads.factor_at(row.lifetime, self.now)
            seconds += excess_read_seconds(excess, self.costs.rate) * factor
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

    ``candidates`` are in an order that all nodes share: the row in which
    prompts are positioned by length. Those ``withheld`` are not chosen.
    """
    if _is_all_withheld(candidates, withheld):
        return None
    position = prompts.sizes.position(request.prompt_tokens)
    service = candidates[0].service
    costs = PrefillCosts(prompts.speed(service).rate, service in prompts.heats)
    search = Search(
        candidates,
        request,
        loads,
        prompts,
        now,
        _seed(request),
        position,
        costs,
        withheld,
        copied_parts(candidates, request, loads, prompts, now),
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
    """Return whether all candidates are withheld, without estimating them."""
    if len(withheld) < len(candidates):
        return False
    return all(row.lifetime in withheld for row in candidates)


def choose_from_all(search: Search) -> Choice | None:
    """Estimate every candidate."""
    indices = range(len(search.candidates))
    preferred = max(indices, key=search.hash_fraction, default=-1)
    return search.best(indices, preferred)


def _choose_from_shortlist(search: Search) -> Choice | None:
    """Estimate only the candidates on the shortlist."""
    request = search.request
    shortlist = search.prompts.shortlist(search.candidates)
    if shortlist.is_stale(search.now):
        _refresh_loads(shortlist, search)
    preferred = shortlist.preferred(search.seed)
    indices = shortlist.select(
        search.position,
        LENGTH_MISMATCH_SECONDS if request.prompt_tokens else 0,
        search.prompts.prefixes.holders(request.parts),
        is_long=request.prompt_tokens / search.costs.rate
        > TOLERATED_STALL_SECONDS,
    )
    indices.add(preferred)
    found = search.best(indices, preferred)
    if found is not None:
        lifetime = found.upstream.lifetime
        slots = max(1, found.upstream.slots)
        added = FULL_BATCH_SECONDS / slots + found.prefill / search.costs.rate
        factor = search.loads.factor_at(lifetime, search.now)
        shortlist.record_choice(lifetime, added * factor)
    return found


def _refresh_loads(
    shortlist: Shortlist[ListedUpstream],
    search: Search,
) -> None:
    """Recompute the cost of a short and a long prompt at each upstream."""
    loads, now, rate = search.loads, search.now, search.costs.rate
    long_stall = LONG_PREFILL_SECONDS - TOLERATED_STALL_SECONDS

    def weigh(lifetime: Lifetime, row: ListedUpstream) -> tuple[float, float]:
        running = loads.running_at(lifetime)
        factor = loads.factor_at(lifetime, now)
        prefill_seconds = loads.prefill_at(lifetime) / rate * factor
        batch_seconds = FULL_BATCH_SECONDS * running / row.slots * factor
        short = batch_seconds + prefill_seconds
        short += excess_seconds(search.request, factor)
        short += loads.failures_at(lifetime, now) * FAILURE_PENALTY_SECONDS
        if running >= row.slots:
            short += (
                QUEUED_BATCH_SECONDS
                * (running + 1 - row.slots)
                / row.slots
                * factor
            )
        if row.warm_up:
            short += row.warm_up / 10
        if lifetime in search.withheld:
            short += WITHHELD_PENALTY_SECONDS
        stall = prefill_seconds + long_stall
        if search.costs.is_own_stall:
            stall = min(LONG_PREFILL_SECONDS, stall)
        return short, short + running * STALL_WEIGHT * stall

    shortlist.refresh(weigh, now)


def _seed(request: RoutingRequest) -> int:
    """Return a hash seed that is equal for requests with a shared prompt."""
    key = request.attempt_id
    if len(request.parts) > 1:
        # The last part belongs to this request, the one before is shared.
        key = request.parts[-2].part_id
    return xxh3_64_intdigest(key.encode())
