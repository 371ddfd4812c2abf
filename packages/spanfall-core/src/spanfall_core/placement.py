"""Choose the homes of a service by rendezvous hashing.

All nodes with the same member list compute the same order. A node that joins
or leaves moves only the services that it gains or loses (Thaler and
Ravishankar, 1998).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from xxhash import xxh3_64_intdigest

#: Homes per service: one active, the others standby (DESIGN, Processes).
HOMES_PER_SERVICE = 3


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """Describe a node that is eligible as a home, with its data centre."""

    node_id: str
    data_centre: str


def rank_candidates(
    service: str, candidates: Iterable[HomeCandidate]
) -> list[HomeCandidate]:
    """Sort the candidates by their rendezvous score for the service."""
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
    """Return the node ids of the homes, the active home first.

    Each standby home is in a data centre that has no home of the service yet,
    as long as there is one.
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
