"""Remember which parts of prompts upstreams answered lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.crashes.traits import Trait

#: Seconds of an answer after which its run counts as sound: a part that crashes
#: upstreams does so as an answer begins.
SOUND_SECONDS = 1.0
#: Seconds for which an answer proves a part: prompts are shared for hours, and
#: upstreams may be changed meanwhile.
PROVEN_SECONDS = 300.0
#: Maximum number of remembered parts, the last answered ones; 0.5 MB.
MAX_REMEMBERED = 4096


@dataclass(slots=True)
class SoundParts:
    """Hold when each part was last answered, by software version."""

    _answered_at: dict[tuple[Trait, str | None], float] = field(
        default_factory=dict
    )

    def record(
        self, parts: Iterable[Trait], version: str | None, now: float
    ) -> None:
        """Record that an upstream answered requests with these parts."""
        rows = self._answered_at
        for part in parts:
            rows.pop((part, version), None)
            rows[part, version] = now
        while len(rows) > MAX_REMEMBERED:
            rows.pop(next(iter(rows)))

    def proven(
        self, parts: Iterable[Trait], version: str | None, now: float
    ) -> tuple[Trait, ...]:
        """Return the parts that this version answered lately."""
        since = now - PROVEN_SECONDS
        return tuple(
            part
            for part in parts
            if self._answered_at.get((part, version), float('-inf')) > since
        )
