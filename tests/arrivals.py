"""Record which requests reach an upstream, and from which entry.

Test callers put the entry's name into the attempt id: ``entry/number``.
"""

from dataclasses import dataclass

import anyio


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold when a request reached an upstream, and from which entry."""

    at: float
    entry: str


def record_arrivals(upstream):
    """Record each request that reaches an upstream from now on."""
    arrivals = []
    answer = upstream.behaviour

    async def recording(one, seen, stream):
        entry = seen.headers['attempt'].partition('/')[0]
        arrivals.append(Arrival(anyio.current_time(), entry))
        return await answer(one, seen, stream)

    upstream.behaviour = recording
    return arrivals


def arrived_after(arrivals, informed_at, seconds):
    """Return arrivals more than ``seconds`` after their entry was informed."""
    never = float('inf')
    return [
        one
        for one in arrivals
        if one.at > informed_at.get(one.entry, never) + seconds
    ]
