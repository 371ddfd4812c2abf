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
class Place:
    """Name a node and its data centre as a candidate for a home."""

    node_id: str
    data_centre: str


def rank_places(service: str, places: Iterable[Place]) -> list[Place]:
    """Order the places by their rendezvous score for the service."""
    return sorted(
        places,
        key=lambda place: (
            xxh3_64_intdigest(f'{service}\0{place.node_id}'.encode()),
            place.node_id,
        ),
        reverse=True,
    )


def choose_homes(
    service: str,
    places: Iterable[Place],
    count: int = HOMES_PER_SERVICE,
) -> tuple[str, ...]:
    """Return the node ids of the homes, acting home first.

    Later homes come from data centres not used yet while there are any.
    """
    ranked = rank_places(service, places)
    seen: set[str] = set()
    fresh: list[Place] = []
    other: list[Place] = []
    for place in ranked:
        chosen = other if place.data_centre in seen else fresh
        chosen.append(place)
        seen.add(place.data_centre)
    chosen_places = islice(fresh + other, count)
    return tuple(row.node_id for row in chosen_places)
