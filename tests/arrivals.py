"""Note what reaches an upstream, and from which entry.

Callers name the entry that they ask in the attempt: ``entry/number``.
"""

from dataclasses import dataclass

import anyio


@dataclass(frozen=True, slots=True)
class Arrival:
    """State when a request reached the upstream, and from which entry."""

    at: float
    entry: str


def record_arrivals(upstream):
    """Note each request that reaches an upstream from now on."""
    arrivals = []
    answer = upstream.behaviour

    async def recording(one, seen, stream):
        entry = seen.headers['attempt'].partition('/')[0]
        arrivals.append(Arrival(anyio.current_time(), entry))
        return await answer(one, seen, stream)

    upstream.behaviour = recording
    return arrivals


def arrived_after(arrivals, informed_at, seconds):
    """Return what came from an entry later than so long after it was told."""
    never = float('inf')
    return [
        one
        for one in arrivals
        if one.at > informed_at.get(one.entry, never) + seconds
    ]
