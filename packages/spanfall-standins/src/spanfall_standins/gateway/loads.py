"""Decode the load that stand-in upstreams state."""

from spanfall_core.gateway.known.stated_loads import InvalidLoad, StatedLoad
from spanfall_node.gateway.net.ports import Headers

#: Running, waiting, slots and, on a shared host, the slowdown: ``3/0/8/1.5``.
LOAD_HEADER = b'load'


def read_load(headers: Headers) -> StatedLoad | InvalidLoad | None:
    """Return the load that a response states, if any."""
    text = dict(headers).get(LOAD_HEADER, b'').decode()
    if not text:
        return None
    try:
        running, waiting, slots, *slowdown = text.split('/')
        return StatedLoad(
            int(running),
            int(waiting),
            int(slots),
            float(slowdown[0]) if slowdown else None,
        )
    except ValueError:
        return InvalidLoad(text)
