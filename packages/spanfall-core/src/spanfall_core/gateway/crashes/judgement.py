"""Judge by the ends under a trait whether requests with it may be sent."""

from collections.abc import Iterator, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from spanfall_core.gateway.crashes.evidence import TraitEvidence
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.crashes.traits import Trait, is_part
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Crashes after which requests with a trait are tried alone. With 1, all
#: requests of a reclaimed upstream would have to wait for each other.
SUSPECT_THRESHOLD = 2
#: Confirmed crashes after which a trait is quarantined.
QUARANTINE_THRESHOLD = 3
#: Rounds of ends after which a proven part is a suspect, and after which it is
#: quarantined: its requests are many, and all of them would be refused.
PROVEN_SUSPECT_ROUNDS = 4
PROVEN_QUARANTINE_ROUNDS = 5


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """Hold the time and the strength of the suspicion of a crash."""

    since: float
    #: True if no process answers; false if one does, which may be a new one.
    is_strong: bool


#: What is known: the ends under each trait, and which are not confirmed.
AllEvidence = Mapping[Trait, TraitEvidence]
Suspected = Mapping[Lifetime, SuspectedCrash]


def standing_of(
    trait: Trait, evidence: AllEvidence, suspected: Suspected
) -> Standing:
    """Return how a request may be sent by the evidence on one trait."""
    row = evidence[trait]
    if row.is_proven and is_part(trait):
        return _standing_of_proven(trait, evidence, suspected)
    weak_count = sum(
        one in suspected and not suspected[one].is_strong for one in row.ends
    )
    # All weakly suspected crashes together reduce the count by one at most.
    counted = max(len(row.ends) - weak_count, len(row.ends) - 1)
    if counted < SUSPECT_THRESHOLD:
        return Standing.WATCHED if counted else Standing.FREE
    if counted >= QUARANTINE_THRESHOLD and _has_suspected(row, suspected):
        return Standing.HELD
    return Standing.SUSPECT


def _standing_of_proven(
    part: Trait, evidence: AllEvidence, suspected: Suspected
) -> Standing:
    row = evidence[part]
    rounds: float = row.rounds_seen
    if rounds >= PROVEN_SUSPECT_ROUNDS:
        rounds = _unexplained_rounds(part, evidence, row.ends.keys())
    if rounds < PROVEN_SUSPECT_ROUNDS:
        return Standing.OBSERVED
    if rounds >= PROVEN_QUARANTINE_ROUNDS and _has_suspected(row, suspected):
        return Standing.HELD
    return Standing.SUSPECT


def proven_cause(
    trait: Trait, evidence: AllEvidence, suspected: Suspected
) -> frozenset[Trait]:
    """Return a trait and those that always came with it, if they are the cause.

    The result is empty if confirmed ends do not prove it. If others had the
    same ends by other runs, the next trial has to decide.
    """
    row = evidence[trait]
    ends = row.ends.keys() - suspected.keys()
    if len(ends) < QUARANTINE_THRESHOLD:
        return frozenset()
    if is_part(trait) and not _is_part_proven(trait, evidence, ends):
        return frozenset()
    same = dict(_with_same_ends(trait, evidence, ends))
    rivals = (
        not found.is_proven and not row.is_within(found, ends)
        for found in same.values()
    )
    if any(rivals):
        return frozenset()
    together = (
        other
        for other, found in same.items()
        if is_part(trait)
        and is_part(other)
        and found.is_proven == row.is_proven
        and row.is_within(found, ends)
    )
    return frozenset((trait, *together))


def _is_part_proven(
    part: Trait, evidence: AllEvidence, ends: AbstractSet[Lifetime]
) -> bool:
    """Return whether confirmed ends are enough to quarantine a part."""
    row = evidence[part]
    if not row.has_several_requests(ends):
        return False
    if not _was_tried_alone(part, evidence, ends):
        return False
    if row.is_proven:
        rounds = _unexplained_rounds(part, evidence, ends)
        return rounds >= PROVEN_QUARANTINE_ROUNDS
    return row.rounds(ends) >= QUARANTINE_THRESHOLD


def _was_tried_alone(
    part: Trait, evidence: AllEvidence, ends: AbstractSet[Lifetime]
) -> bool:
    """Return whether an upstream ended under a trial of a part alone.

    It was not alone beside another suspect.
    """
    row = evidence[part]
    rivals = [
        found.ends.keys()
        for found in evidence.values()
        if not found.is_proven
        and len(found.ends) >= SUSPECT_THRESHOLD
        and not row.is_within(found, row.ends.keys() & found.ends.keys())
    ]
    return any(
        not any(trial in rival for rival in rivals)
        for trial in row.trials(ends)
    )


def _with_same_ends(
    trait: Trait, evidence: AllEvidence, ends: AbstractSet[Lifetime]
) -> Iterator[tuple[Trait, TraitEvidence]]:
    return (
        (other, found)
        for other, found in evidence.items()
        if other != trait and ends <= found.ends.keys()
    )


def _unexplained_rounds(
    part: Trait, evidence: AllEvidence, ends: AbstractSet[Lifetime]
) -> float:
    """Return the rounds of ends under a proven part that others don't explain.

    An unproven part explains its ends if different requests with it had some.
    Otherwise it may only have come along, and its ends count half.
    """
    unproven = [
        found
        for other, found in evidence.items()
        if is_part(other) and not found.is_proven
    ]
    strong = (
        found.ends.keys()
        for found in unproven
        if found.has_several_requests(found.ends)
    )
    row = evidence[part]
    left = ends - set().union(*strong)
    doubtful = left & set().union(*(found.ends.keys() for found in unproven))
    return row.rounds(left - doubtful) + row.rounds(doubtful) / 2


def _has_suspected(row: TraitEvidence, suspected: Suspected) -> bool:
    return not row.ends.keys().isdisjoint(suspected)
