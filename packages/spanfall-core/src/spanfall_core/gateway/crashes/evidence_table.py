"""Hold the ends of upstreams by the traits that they stand under."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import islice
from typing import TypeVar

from spanfall_core.gateway.crashes.evidence import (
    BrokenRun,
    CrashSign,
    TraitEvidence,
)
from spanfall_core.gateway.crashes.judgement import SuspectedCrash
from spanfall_core.gateway.crashes.traits import Trait, is_part
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Maximum number of traits whose crashes are tracked; they take 3 MB. Traits
#: with one crash are evicted first, the oldest first, as their requests may be
#: sent without restriction anyway.
MAX_TRACKED_TRAITS = 4096
#: Maximum number of ended upstreams that are remembered, for those whose end a
#: quarantine explains and for all confirmed ones: other requests that ran there
#: may be reported later.
MAX_EXPLAINED = 1024

Key = TypeVar('Key')
Stored = TypeVar('Stored')


@dataclass(slots=True)
class EvidenceTable:
    """Hold the ends under each trait, and which of them are certain."""

    #: Ends by trait that is not quarantined; the least recently updated trait
    #: first.
    rows: dict[Trait, TraitEvidence] = field(default_factory=dict)
    #: Upstreams in it whose crash is not confirmed.
    suspected_crashes: dict[Lifetime, SuspectedCrash] = field(
        default_factory=dict
    )
    _confirmed: dict[Lifetime, None] = field(default_factory=dict)
    _explained: dict[Lifetime, None] = field(default_factory=dict)
    #: Parts that had two ends or more when the last one was added.
    _repeated: dict[Trait, None] = field(default_factory=dict)

    def is_confirmed(self, run: BrokenRun) -> bool:
        """Return whether the upstream of a broken run has certainly ended."""
        return run.sign is CrashSign.ENDED or run.lifetime in self._confirmed

    def is_known_end(self, lifetime: Lifetime) -> bool:
        """Return whether an upstream has ended by an earlier report."""
        return lifetime in self._confirmed

    def repeated_parts(self) -> list[Trait]:
        """Return the parts with two ends or more."""
        self._repeated = {
            part: None
            for part in self._repeated
            if part in self.rows and len(self.rows[part].ends) > 1
        }
        return list(self._repeated)

    def confirm(self, lifetime: Lifetime) -> None:
        """Record that an upstream has certainly ended."""
        self.suspected_crashes.pop(lifetime, None)
        self._confirmed[lifetime] = None
        _evict_oldest(self._confirmed, MAX_EXPLAINED)

    def retract(self, lifetime: Lifetime) -> None:
        """Drop what was recorded of an upstream that turns out to be alive."""
        self.suspected_crashes.pop(lifetime, None)
        self._confirmed.pop(lifetime, None)
        self.discard_ends({lifetime})

    def add(
        self, run: BrokenRun, refused: Collection[Trait], now: float
    ) -> None:
        """Add an end to the traits under which it is not explained.

        Those for which the request is refused are known already.
        """
        is_explained = run.lifetime in self._explained and not run.is_trial
        for trait in self._blamed(run):
            if trait in refused or (
                is_explained
                and not self._may_explain(trait, run, is_open=bool(refused))
            ):
                continue
            row = self.rows.pop(trait, None) or TraitEvidence()
            row.add(trait, run, now)
            self.rows[trait] = row
            if is_part(trait) and len(row.ends) > 1:
                self._repeated[trait] = None
            self._evict_one()

    def _may_explain(
        self, trait: Trait, run: BrokenRun, *, is_open: bool
    ) -> bool:
        """Return whether an end that is explained counts under a trait, too.

        ``is_open`` tells whether only the whole request explains it.
        """
        row = self.rows.get(trait)
        if row is None:
            return is_open and is_part(trait)
        if run.lifetime in row.ends:
            return True
        return is_part(trait) and (is_open or row.has_others(run.lifetime))

    def suspect(self, run: BrokenRun, now: float) -> None:
        """Record that the upstream of a broken run may have ended."""
        if run.lifetime in self._explained:
            return
        is_strong = run.sign is CrashSign.STRONG
        known = self.suspected_crashes.get(
            run.lifetime, SuspectedCrash(now, is_strong)
        )
        self.suspected_crashes[run.lifetime] = SuspectedCrash(
            known.since, known.is_strong or is_strong
        )

    def explain(
        self, ended: Iterable[Lifetime], kept: Collection[Trait] = ()
    ) -> None:
        """Stop counting these ends for any trait that is not kept."""
        lifetimes = set(ended)
        for lifetime in lifetimes:
            self.suspected_crashes.pop(lifetime, None)
            self._explained[lifetime] = None
        _evict_oldest(self._explained, MAX_EXPLAINED)
        self.discard_ends(lifetimes, kept)

    def discard_ends(
        self, lifetimes: set[Lifetime], kept: Collection[Trait] = ()
    ) -> None:
        """Discard ends under all traits that are not kept."""
        for trait, row in list(self.rows.items()):
            if trait in kept or row.ends.keys().isdisjoint(lifetimes):
                continue
            for lifetime in lifetimes:
                row.ends.pop(lifetime, None)
            if not row.ends:
                self.rows.pop(trait)

    def parts_under(self, requests: Collection[Trait]) -> set[Trait]:
        """Return the parts that had an end under one of some requests."""
        return {
            part
            for part, row in self.rows.items()
            if is_part(part) and row.is_under(requests)
        }

    def likely_causes(self, run: BrokenRun) -> set[Trait]:
        """Return the traits of a trial, and other parts with earlier ends."""
        others = (
            trait
            for trait, row in self.rows.items()
            if is_part(trait) and row.has_others(run.lifetime)
        )
        return {*run.traits, *others}

    def runs(
        self,
        now: float,
        max_count: int,
        traits: Iterable[Trait] | None = None,
    ) -> tuple[BrokenRun, ...]:
        """Return the newest evidence, on some traits, as broken runs."""
        chosen = self.rows if traits is None else traits
        newest = (one for one in reversed(list(chosen)) if one in self.rows)
        runs = (
            run
            for trait in newest
            for run in self.rows[trait].as_runs(trait, self._sign_of, now)
        )
        return tuple(islice(runs, max_count))

    def _blamed(self, run: BrokenRun) -> Iterable[Trait]:
        """Return the traits under which the end of a run counts.

        The crash of a trial says little of parts that have fewer ends than
        another one of the same request.
        """
        if not run.is_trial:
            return run.traits
        counts = {
            trait: len(self.rows[trait].ends)
            for trait in run.traits
            if is_part(trait)
            and trait in self.rows
            and not self.rows[trait].is_proven
        }
        if not counts:
            return run.traits
        most = max(counts.values())
        top = (trait for trait, count in counts.items() if count == most)
        return (Trait(run.identity), *top)

    def _sign_of(self, lifetime: Lifetime) -> CrashSign:
        suspected = self.suspected_crashes.get(lifetime)
        if suspected is None:
            return CrashSign.ENDED
        return CrashSign.STRONG if suspected.is_strong else CrashSign.WEAK

    def _evict_one(self) -> None:
        if len(self.rows) <= MAX_TRACKED_TRAITS:
            return
        with_one_crash = (
            key for key, row in self.rows.items() if len(row.ends) == 1
        )
        self.rows.pop(next(with_one_crash, next(iter(self.rows))))


def _evict_oldest(rows: dict[Key, Stored], max_count: int) -> None:
    while len(rows) > max_count:
        rows.pop(next(iter(rows)))
