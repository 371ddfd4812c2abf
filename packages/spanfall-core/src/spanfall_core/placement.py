"""Choose the homes of a service by rendezvous hashing.

Each node computes the same order from the same member list, and a node that
joins or leaves moves only the services it gains or held (Thaler and
Ravishankar, 1998).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from xxhash import xxh3_64_intdigest

#: Homes of one service: one acts, the others stand by (DESIGN, Processes).
HOMES_PER_SERVICE = 3


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """Name a node and its data centre as a candidate for a home."""

    node_id: str
    data_centre: str


def rank_candidates(
    service: str, candidates: Iterable[HomeCandidate]
) -> list[HomeCandidate]:
    """Order the places by their rendezvous score for the service."""
    return sorted(
        candidates,
        key=lambda candidate: (
            xxh3_64_intdigest(f'{service}\0{candidate.node_id}'.encode()),
            candidate.node_id,
        ),
        reverse=True,
    )


def choose_homes(
    service: str,
    candidates: Iterable[HomeCandidate],
    count: int = HOMES_PER_SERVICE,
) -> tuple[str, ...]:
    """Return the node ids of the homes, acting home first.

    Later homes come from data centres not used yet while there are any.
    """
    ranked = rank_candidates(service, candidates)
    seen: set[str] = set()
    new_data_centre: list[HomeCandidate] = []
    same_data_centre: list[HomeCandidate] = []
    for candidate in ranked:
        group = (
            same_data_centre
            if candidate.data_centre in seen
            else new_data_centre
        )
        group.append(candidate)
        seen.add(candidate.data_centre)
    homes = islice(new_data_centre + same_data_centre, count)
    return tuple(row.node_id for row in homes)
