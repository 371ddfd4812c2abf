"""Find the trait of requests that crashes upstreams.

A trait that stands at two ends is a suspect: requests with it are tried alone,
one per service at a time in the whole fleet, so that one of them is itself the
cause of a third end. A part of prompts that was answered lately becomes a
suspect later, and only by ends that no other part explains.

Some crashes are detected seconds after the caller has retried the request. A
suspected crash therefore counts at once, but it only holds requests back. Only
confirmed crashes put a trait in quarantine.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import chain, islice

from spanfall_core.gateway.crashes.evidence import BrokenRun, TraitEvidence
from spanfall_core.gateway.crashes.evidence_table import EvidenceTable
from spanfall_core.gateway.crashes.judgement import (
    SUSPECT_THRESHOLD,
    proven_cause,
    standing_of,
)
from spanfall_core.gateway.crashes.standings import (
    SEVERITY,
    UNRESTRICTED,
    Standing,
)
from spanfall_core.gateway.crashes.traits import Trait, is_part
from spanfall_core.gateway.crashes.verdicts import Verdicts
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Seconds for which a trait is quarantined. It is served again afterwards, as
#: the upstreams may have been fixed; it crashes at most three of them a day.
QUARANTINE_SECONDS = 86_400.0
#: Seconds for which a part is quarantined first that was answered before: many
#: requests have it, and few upstreams may have answered any.
PROVEN_QUARANTINE_SECONDS = 60.0
#: Maximum number of suspect parts that are announced to all entries.
MAX_ANNOUNCED = 64


@dataclass(slots=True)
class CrashTable:
    """Record which upstreams crashed while they ran requests with which traits.

    Only the node that hears of all crashes and answers judges parts.
    """

    verdicts: Verdicts = field(default_factory=Verdicts)
    evidence: EvidenceTable = field(default_factory=EvidenceTable)
    #: Parts that the home found to be suspects.
    announced: frozenset[Trait] = frozenset()

    def standing(self, traits: Collection[Trait], now: float) -> Standing:
        """Return whether and how a request with some traits may be sent."""
        doubted = self.verdicts.doubted(traits, now)
        if doubted and self.verdicts.refused(traits, now):
            return Standing.QUARANTINED
        found = [
            self._standing_of(trait)
            for trait in traits
            if trait in self.evidence.rows
        ]
        if doubted or not self.announced.isdisjoint(traits):
            found.append(Standing.SUSPECT)
        return max(found, key=SEVERITY.__getitem__, default=Standing.FREE)

    def record(
        self, run: BrokenRun, now: float, *, judges_parts: bool = False
    ) -> list[Trait]:
        """Record a broken run; return the traits that it quarantines."""
        evidence = self.evidence
        is_confirmed = evidence.is_confirmed(run)
        refused = self.verdicts.refused(run.traits, now)
        if not is_confirmed:
            if not any(map(is_part, refused)):
                evidence.add(run, refused, now)
                evidence.suspect(run, now)
            return []
        if any(map(is_part, refused)):
            evidence.explain({run.lifetime})
            return []
        if refused:
            kept = evidence.parts_under(refused)
            evidence.explain({run.lifetime}, kept)
        renewed = self._apply_to_verdicts(run, now)
        if run.is_trial:
            # The trial is the likely cause, not what ran beside it for the
            # first time.
            evidence.explain({run.lifetime}, evidence.likely_causes(run))
        evidence.add(run, refused, now)
        if evidence.is_known_end(run.lifetime):
            found = self._judge(run.traits, now, judges_parts=judges_parts)
        else:
            found = self.confirm_crash(
                run.lifetime, now, judges_parts=judges_parts
            )
        return renewed + found

    def _apply_to_verdicts(self, run: BrokenRun, now: float) -> list[Trait]:
        """Apply a crash to verdicts; return the parts quarantined again."""
        self.verdicts.narrow(run.traits)
        if run.is_trial:
            return self.verdicts.renew(run.traits, now)
        return []

    def confirm_crash(
        self, lifetime: Lifetime, now: float, *, judges_parts: bool = False
    ) -> list[Trait]:
        """Record that an upstream has certainly ended.

        Return the traits that this puts in quarantine.
        """
        self.evidence.confirm(lifetime)
        affected = [
            trait
            for trait, row in self.evidence.rows.items()
            if lifetime in row.ends
        ]
        return self._judge(affected, now, judges_parts=judges_parts)

    def _judge(
        self, traits: Iterable[Trait], now: float, *, judges_parts: bool
    ) -> list[Trait]:
        """Return which of some traits confirmed ends put in quarantine."""
        quarantined: list[Trait] = []
        for trait in traits:
            is_judged = judges_parts or not is_part(trait)
            if is_judged and trait in self.evidence.rows:
                quarantined += self._quarantine_cause(trait, now)
        return quarantined

    def _quarantine_cause(self, trait: Trait, now: float) -> Iterable[Trait]:
        """Quarantine a trait and its companions if they are the cause."""
        rows = self.evidence.rows
        cause = proven_cause(trait, rows, self.evidence.suspected_crashes)
        if cause:
            seconds = QUARANTINE_SECONDS
            if is_part(trait) and rows[trait].was_proven:
                seconds = PROVEN_QUARANTINE_SECONDS
            self.quarantine(cause, now + seconds, seconds)
        return cause

    def record_alive(self, lifetime: Lifetime) -> None:
        """Record that an upstream that was taken for ended is alive."""
        self.evidence.retract(lifetime)

    def quarantine(
        self,
        traits: Collection[Trait],
        until: float,
        seconds: float = QUARANTINE_SECONDS,
    ) -> None:
        """Quarantine traits that came together.

        Their ends count no more for other requests that ran there, except for
        parts with as many ends. Parts of a quarantined request may still be
        the cause in others.
        """
        rows = self.evidence.rows
        ended: set[Lifetime] = set()
        for trait in traits:
            ended |= rows.pop(trait, TraitEvidence()).ends.keys()
        self.verdicts.add(traits, until, seconds)
        kept = {
            part
            for part, row in rows.items()
            if is_part(part)
            and not row.is_proven
            and len(row.ends) >= max(len(ended), SUSPECT_THRESHOLD)
        }
        if not any(map(is_part, traits)):
            kept |= self.evidence.parts_under(traits)
        self.evidence.explain(ended, kept)

    def clear_request(self, identity: Trait) -> None:
        """Forget a request that got a complete answer: it crashes nothing."""
        self.evidence.rows.pop(identity, None)

    def clear_parts(
        self, parts: Iterable[Trait], version: str | None
    ) -> list[Trait]:
        """Record that a software version answers parts without crashing.

        Return the parts that were suspects or in quarantine.
        """
        if self.is_empty:
            return []
        return [part for part in parts if self._clear_part(part, version)]

    def _clear_part(self, part: Trait, version: str | None) -> bool:
        was_suspect = self.verdicts.release(part) or part in self.announced
        self.announced -= {part}
        row = self.evidence.rows.get(part)
        if row is None:
            return was_suspect
        end_count = len(row.ends)
        row.discard_version(version)
        if not row.ends:
            self.evidence.rows.pop(part)
        return was_suspect or end_count >= SUSPECT_THRESHOLD

    def release(self, parts: Collection[Trait]) -> None:
        """Forget parts that the home has cleared."""
        for part in parts:
            self.verdicts.release(part)
            self.evidence.rows.pop(part, None)
        self.announced -= set(parts)

    @property
    def is_empty(self) -> bool:
        """Return whether no request is restricted or watched."""
        return not (self.evidence.rows or self.verdicts or self.announced)

    def suspect_parts(self) -> tuple[Trait, ...]:
        """Return the suspect parts, for the entries; bounded.

        They include those that an earlier home found, as its evidence may not
        have arrived.
        """
        suspects = (
            part
            for part in self.evidence.repeated_parts()
            if self._standing_of(part) not in UNRESTRICTED
        )
        found = dict.fromkeys(chain(suspects, sorted(self.announced)))
        return tuple(islice(found, MAX_ANNOUNCED))

    def _standing_of(self, trait: Trait) -> Standing:
        evidence = self.evidence
        return standing_of(trait, evidence.rows, evidence.suspected_crashes)
