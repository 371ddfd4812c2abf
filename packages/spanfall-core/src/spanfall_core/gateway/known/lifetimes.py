"""Name the lifetimes of upstreams: the one key under which all is learned.

An upstream may start again under its id. What was learned of one lifetime
says nothing of the next, so no table has an id as its key.
"""

from typing import NewType

#: Name of one lifetime of one upstream, unique in the fleet.
Lifetime = NewType('Lifetime', str)
#: Numbers by lifetime, such as the requests that run there.
ByLifetime = dict[Lifetime, int]
#: Separates an id from the time of its start; the adapter accepts no id that
#: holds it.
SEPARATOR = ' '


def name_lifetime(upstream_id: str, born: int | None) -> Lifetime:
    """Name the lifetime of an upstream that began at a time.

    ``born`` is in milliseconds since 1970; None: the platform does not tell,
    so each start has an id of its own.
    """
    if born is None:
        return Lifetime(upstream_id)
    return Lifetime(f'{upstream_id}{SEPARATOR}{born}')


def is_earlier(born: int | None, known: int | None) -> bool:
    """Tell whether a start lies before one that is known already."""
    if known is None:
        return False
    return born is None or born < known
