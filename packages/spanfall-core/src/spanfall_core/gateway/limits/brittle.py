"""Bound what runs at upstreams that end when they reject too often.

A brittle upstream rejects what it has no room for and survives only so many
rejections in a second, over all entries. So it gets requests only for room that
is known: its slots, less what rejections have shown.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Seconds after which a place that a rejection took is used again.
REGROWTH_SECONDS = 2.0
#: Factor of pauses that keeps rejections inside what the upstream survives
#: also when they arrive late.
PAUSE_MARGIN = 1.25
#: Bounds of the seconds for which nothing is sent after a rejection.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 4.0
#: Share of the slots that a new home, which does not know yet what runs, uses.
UNKNOWN_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Room:
    """Store the room that rejections have shown, and when."""

    places: float
    shown_at: float
    paused_until: float


@dataclass(slots=True)
class BrittleRooms:
    """Store the room of brittle upstreams that have rejected requests."""

    _rooms: dict[Lifetime, Room] = field(default_factory=dict)

    def record_rejections(
        self, lifetime: Lifetime, running: int, survived: float, now: float
    ) -> None:
        """Record a rejection while ``running`` requests were known to run.

        ``survived`` is the number of rejections in a second that it survives.
        """
        places = min(self._places(lifetime, now), running) - 1
        paused_until = now + pause_seconds(survived)
        self._rooms[lifetime] = Room(max(1, places), now, paused_until)

    def is_full(
        self, lifetime: Lifetime, slots: int, running: int, now: float
    ) -> bool:
        """Return whether an upstream may get no request now."""
        room = self._rooms.get(lifetime)
        if room is not None and now < room.paused_until:
            return True
        return running >= min(slots, self._places(lifetime, now))

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the room of an upstream that has ended."""
        self._rooms.pop(lifetime, None)

    def _places(self, lifetime: Lifetime, now: float) -> float:
        room = self._rooms.get(lifetime)
        if room is None:
            return float('inf')
        return room.places + (now - room.shown_at) // REGROWTH_SECONDS


def pause_seconds(survived: float, senders: int = 1) -> float:
    """Return the seconds for which nothing is sent after a rejection.

    With ``senders`` that decide alone, each pauses so long that all together
    stay inside what the upstream survives.
    """
    if survived <= 0:
        return MAX_PAUSE_SECONDS
    seconds = senders / survived * PAUSE_MARGIN
    return max(MIN_PAUSE_SECONDS, min(MAX_PAUSE_SECONDS, seconds))


def own_share(slots: int, entries: int) -> int:
    """Return the slots that an entry uses while it decides alone."""
    return max(1, slots // max(1, entries))
