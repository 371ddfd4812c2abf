"""Name the traits of a request, any of which may crash upstreams.

A request that crashes upstreams may be one request that is retried, or any
request with the same part of a prompt. The workspace, the route, the model and
the size are no traits: all requests that share them would be refused.
"""

from collections.abc import Iterable
from typing import NewType

from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.prefixes import PromptPart, short_part_id

#: Identity of a request, or the name of a part of its prompt.
Trait = NewType('Trait', str)
#: Start of the names of parts; no identity contains it.
PART_PREFIX = 'part/'
#: Maximum number of parts of one prompt that are traits, the first ones.
MAX_PART_TRAITS = 32


def request_traits(
    identity: RequestIdentity, parts: Iterable[PromptPart]
) -> tuple[Trait, ...]:
    """Return the traits of a request: its identity, then its parts."""
    return Trait(identity), *part_traits(parts)


def part_traits(parts: Iterable[PromptPart]) -> tuple[Trait, ...]:
    """Return the parts of a prompt that other requests may have, too.

    The last part belongs to the request alone.
    """
    names = [_part_trait(part.part_id) for part in parts]
    return tuple(dict.fromkeys(names[: min(len(names) - 1, MAX_PART_TRAITS)]))


def is_part(trait: Trait) -> bool:
    """Return whether a trait is a part of prompts."""
    return trait.startswith(PART_PREFIX)


def named_traits(traits: Iterable[Trait]) -> str:
    """Return how log lines name traits."""
    return ' '.join(
        trait if is_part(trait) else f'identity {trait}' for trait in traits
    )


def _part_trait(part_id: str) -> Trait:
    return Trait(f'{PART_PREFIX}{short_part_id(part_id)}')
