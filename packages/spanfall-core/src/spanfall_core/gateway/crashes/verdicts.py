"""Hold the quarantined traits and what they were always seen with.

A part whose time is over is tried alone before it is served again. Parts of
prompts that always came together have the same ends. Only requests
with all of them are refused; one with some of them is tried alone, which tells them
apart.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from spanfall_core.gateway.crashes.traits import Trait, is_part

#: Maximum number of quarantined traits; the oldest are evicted first. Each has
#: crashed three upstreams.
MAX_QUARANTINED = 512
#: Maximum seconds for which a trait is quarantined at once.
MAX_QUARANTINE_SECONDS = 86_400.0

#: Traits without which a quarantined one is not refused.
Companions = frozenset[Trait]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold until when a trait is quarantined, and together with which."""

    until: float
    companions: Companions = frozenset()
    #: Seconds for which it was quarantined.
    seconds: float = 0


@dataclass(slots=True)
class Verdicts:
    """Hold the verdicts by trait, the oldest first."""

    rows: dict[Trait, Verdict] = field(default_factory=dict)

    def __bool__(self) -> bool:
        """Return whether any trait is quarantined."""
        return bool(self.rows)

    def add(
        self, traits: Iterable[Trait], until: float, seconds: float
    ) -> None:
        """Quarantine traits that came together."""
        together = frozenset(traits)
        for trait in together:
            self.rows.pop(trait, None)
            self.rows[trait] = Verdict(until, together - {trait}, seconds)
        while len(self.rows) > MAX_QUARANTINED:
            self.rows.pop(next(iter(self.rows)))

    def doubted(self, traits: Iterable[Trait], now: float) -> list[Trait]:
        """Return which traits of a request are quarantined, alone or not."""
        found = [trait for trait in traits if trait in self.rows]
        for expired in found:
            if self.rows[expired].until <= now and not is_part(expired):
                self.rows.pop(expired)
        return [known for known in found if known in self.rows]

    def refused(self, traits: Collection[Trait], now: float) -> list[Trait]:
        """Return for which of its traits a request is refused."""
        return [
            trait
            for trait in self.doubted(traits, now)
            if self.rows[trait].companions <= set(traits)
            and now < self.rows[trait].until
        ]

    def renew(self, traits: Collection[Trait], now: float) -> list[Trait]:
        """Apply a crash of a trial of parts whose time was over.

        Return the parts that are quarantined again, for twice the time.
        """
        again = [
            trait
            for trait in self.doubted(traits, now)
            if self.rows[trait].until <= now
        ]
        for trait in again:
            row = self.rows[trait]
            seconds = min(2 * row.seconds, MAX_QUARANTINE_SECONDS)
            self.rows[trait] = replace(
                row, until=now + seconds, seconds=seconds
            )
        return again

    def narrow(self, traits: Collection[Trait]) -> list[Trait]:
        """Apply a crash of a request with some traits that came together.

        Return the released traits: those that the request did not have.
        """
        released: dict[Trait, None] = {}
        for trait in traits:
            verdict = self.rows.get(trait)
            if verdict is not None:
                released.update(dict.fromkeys(verdict.companions - set(traits)))
        for innocent in released:
            self.release(innocent)
        return list(released)

    def release(self, trait: Trait) -> bool:
        """Release a trait; return whether it was quarantined."""
        if self.rows.pop(trait, None) is None:
            return False
        self.rows = {
            other: replace(row, companions=row.companions - {trait})
            for other, row in self.rows.items()
        }
        return True
