"""Name the lifetimes of upstreams, the key of all tables about upstreams.

An upstream may restart under the same id. What was learned about one lifetime
does not apply to the next, so no such table is keyed by id.
"""

from typing import NewType

#: Name of one lifetime of one upstream, unique in the fleet.
Lifetime = NewType('Lifetime', str)
#: Numbers by lifetime, such as running requests.
ByLifetime = dict[Lifetime, int]
#: Separator between the id and the start time; the adapter rejects ids that
#: contain it.
SEPARATOR = ' '


def name_lifetime(upstream_id: str, born: int | None) -> Lifetime:
    """Return the name of the lifetime that started at the given time.

    ``born`` is in milliseconds since 1970, or None if the platform does not
    report it; then each start has its own id.
    """
    if born is None:
        return Lifetime(upstream_id)
    return Lifetime(f'{upstream_id}{SEPARATOR}{born}')


def is_earlier(born: int | None, known: int | None) -> bool:
    """Return whether a start precedes the latest known start."""
    if known is None:
        return False
    return born is None or born < known
