"""Hold which upstreams ended under which traits of requests.

When the process of an upstream ends, all requests that it runs fail, so one
end says little about any trait of them. A part of prompts that was answered
lately is proven: it stands at many ends since many requests have it.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum, unique

from spanfall_core.gateway.crashes.traits import Trait
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Rounds of ends without an answer after which a part is proven no more.
DOUBTED_ROUNDS = 8
#: Maximum number of ends that are kept for one trait, the first ones.
MAX_ENDS = 64


@unique
class CrashSign(StrEnum):
    """State how certain it is that an upstream ended as a run broke."""

    #: No process listens at its address.
    ENDED = 'ended'
    #: No process answers there.
    STRONG = 'strong'
    #: A process answers, possibly a new one.
    WEAK = 'weak'


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """Describe a run that broke as its upstream ended, or seems to have."""

    identity: RequestIdentity
    lifetime: Lifetime
    #: Traits of the request that may have crashed the upstream.
    traits: tuple[Trait, ...]
    #: Those of them that were answered lately by the same software version.
    proven: tuple[Trait, ...] = ()
    #: Software version of the upstream, if it states one.
    version: str | None = None
    sign: CrashSign = CrashSign.ENDED
    #: Whether the run was the trial of a suspect.
    is_trial: bool = False
    #: Seconds since the request was sent, and since the run broke.
    sent_ago: float = 0
    broke_ago: float = 0


@dataclass(slots=True)
class UpstreamEnd:
    """Hold the end of one upstream under one trait."""

    #: Requests with the trait that ran there; two at most.
    identities: set[RequestIdentity]
    ended_at: float
    #: When the last of them was sent.
    sent_at: float
    version: str | None
    #: Whether one of them was the trial of a suspect.
    is_trial: bool


@dataclass(slots=True)
class TraitEvidence:
    """Hold the ends under one trait since it was last answered."""

    ends: dict[Lifetime, UpstreamEnd] = field(default_factory=dict)
    is_proven: bool = False
    #: Whether it was proven before so many rounds.
    was_proven: bool = False
    #: Rounds of all its ends in the order in which they were recorded, and the
    #: time of the last one.
    rounds_seen: int = 0
    _last_round_at: float = float('-inf')

    def add(self, trait: Trait, run: BrokenRun, now: float) -> None:
        """Add the end of the upstream of a broken run."""
        ended_at, sent_at = now - run.broke_ago, now - run.sent_ago
        self.was_proven = self.was_proven or trait in run.proven
        self.is_proven = self.was_proven and not self._is_doubted()
        end = self.ends.get(run.lifetime)
        if end is None:
            self._add_end(run, ended_at, sent_at)
            return
        end.ended_at = min(end.ended_at, ended_at)
        end.sent_at = max(end.sent_at, sent_at)
        end.is_trial = end.is_trial or run.is_trial
        if len(end.identities) < 2:
            end.identities.add(run.identity)

    def _add_end(self, run: BrokenRun, ended_at: float, sent_at: float) -> None:
        if len(self.ends) >= MAX_ENDS:
            return
        self.ends[run.lifetime] = UpstreamEnd(
            {run.identity}, ended_at, sent_at, run.version, run.is_trial
        )
        if sent_at >= self._last_round_at:
            self.rounds_seen += 1
            self._last_round_at = ended_at

    def _is_doubted(self) -> bool:
        if self.rounds_seen < DOUBTED_ROUNDS:
            return False
        return self.rounds(self.ends) >= DOUBTED_ROUNDS

    def as_runs(
        self,
        trait: Trait,
        sign_of: Callable[[Lifetime], CrashSign],
        now: float,
    ) -> Iterator[BrokenRun]:
        """Yield the ends as broken runs, for another node."""
        for lifetime, end in self.ends.items():
            for identity in sorted(end.identities):
                yield BrokenRun(
                    identity,
                    lifetime,
                    (trait,),
                    (trait,) if self.was_proven else (),
                    end.version,
                    sign_of(lifetime),
                    end.is_trial,
                    now - end.sent_at,
                    now - end.ended_at,
                )

    def discard_version(self, version: str | None) -> None:
        """Discard the ends of upstreams of a software version."""
        self.ends = {
            lifetime: end
            for lifetime, end in self.ends.items()
            if end.version != version
        }

    def rounds(self, counted: Collection[Lifetime]) -> int:
        """Return how many ends followed a send after the end before.

        Upstreams that end at the same time, as when they are reclaimed, are
        one round: what runs at all of them need not be the cause.
        """
        ends = (self.ends[one] for one in self.ends if one in counted)
        total, last = 0, float('-inf')
        for end in sorted(ends, key=_ended_at):
            if end.sent_at >= last:
                total += 1
                last = end.ended_at
        return total

    def trials(self, counted: Iterable[Lifetime]) -> list[Lifetime]:
        """Return the upstreams among some that ended under a trial."""
        return [one for one in counted if self.ends[one].is_trial]

    def has_others(self, lifetime: Lifetime) -> bool:
        """Return whether an unproven trait has ends of other upstreams."""
        return not self.is_proven and bool(self.ends.keys() - {lifetime})

    def has_several_requests(self, counted: Iterable[Lifetime]) -> bool:
        """Return whether the ends were under at least two requests."""
        found = (self.ends[one].identities for one in counted)
        return len(set().union(*found)) > 1

    def is_under(self, requests: Collection[str]) -> bool:
        """Return whether an end was under one of some requests."""
        return any(
            not end.identities.isdisjoint(requests)
            for end in self.ends.values()
        )

    def is_within(self, other: 'TraitEvidence', ends: set[Lifetime]) -> bool:
        """Return whether another trait had the same ends by the same runs."""
        return ends <= other.ends.keys() and all(
            self.ends[one].identities == other.ends[one].identities
            for one in ends
        )


def _ended_at(end: UpstreamEnd) -> float:
    return end.ended_at
