"""Tell which request ends the upstreams that run it from those beside it.

All that an upstream runs breaks when its process ends, so one end says little
of a request. One that was there at two ends is suspect: it is tried alone, one
over the whole fleet at a time, so that a third end is its own doing.

Some ends show seconds later than the request comes again, so what may have
been an end counts at once: it holds a request back and never refuses it for
good. That takes ends that are certain.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import TypeVar

from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Ends of upstreams after which a request is tried alone. After one, all that
#: ran on each upstream that is reclaimed would have to wait for each other.
SUSPECT_THRESHOLD = 2
#: Ends after which it is not served any more.
QUARANTINE_THRESHOLD = 3
#: Requests of which ends are remembered: 1.5 MB, measured. Those with one end
#: go first, the oldest before others: they are free anyway.
MAX_TRACKED_REQUESTS = 4096
#: Seconds for which a request is quarantined, so that it is served again some
#: time after its upstreams were mended: it costs three of them a day at most.
QUARANTINE_SECONDS = 86_400.0
#: Quarantined requests that are kept; the oldest go first. Each has cost three
#: upstreams.
MAX_QUARANTINED = 512
#: Upstreams remembered whose end a quarantine explains: those that ran beside
#: the request may be told of later.
MAX_EXPLAINED = 1024
#: Seconds after which a trial whose end nobody told is taken to be over.
MAX_TRIAL_SECONDS = 1.5
#: Seconds after the first part of an answer at which a trial is over: requests
#: that end their upstreams do so before they have given any.
TRIAL_SETTLE_SECONDS = 0.2


@unique
class Standing(StrEnum):
    """Say how a request may be sent."""

    #: Nothing is known of it.
    FREE = 'free'
    #: An upstream ended under it; whether its answer comes whole is told.
    WATCHED = 'watched'
    #: It is sent alone, when no other such request is.
    SUSPECT = 'suspect'
    #: It is not sent until it is known whether upstreams ended under it.
    HELD = 'held'
    #: It is not sent any more.
    QUARANTINED = 'quarantined'


Key = TypeVar('Key')
Value = TypeVar('Value')


@unique
class ProbeResult(StrEnum):
    """Say how surely an upstream ended as a send to it broke."""

    #: Its address refuses: no process is there.
    ENDED = 'ended'
    #: Its address is silent, or closes what it takes: no process answers.
    NO_ANSWER = 'no-answer'
    #: Its address takes connections, which another process may do already; no
    #: other connection from before is left.
    ACCEPTS_CONNECTIONS = 'takes-connections'
    #: Another connection to it from before is still open.
    ALIVE = 'lives'


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """Hold since when, and how much, an upstream is doubted to live."""

    since: float
    #: Whether no process answers there; else one does, perhaps another one.
    is_strong: bool


@dataclass(slots=True)
class CrashTable:
    """Hold under which requests upstreams ended."""

    #: Requests that are not sent until a time, the oldest first.
    quarantined: dict[RequestIdentity, float] = field(default_factory=dict)
    #: Upstreams that ended under each other request, or may have; the request
    #: with the oldest one first.
    crashed_upstreams: dict[RequestIdentity, set[Lifetime]] = field(
        default_factory=dict
    )
    #: Those of them whose end is not certain.
    suspected_crashes: dict[Lifetime, SuspectedCrash] = field(
        default_factory=dict
    )
    _confirmed: dict[Lifetime, None] = field(default_factory=dict)
    _explained: dict[Lifetime, None] = field(default_factory=dict)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Tell how a request may be sent."""
        until = self.quarantined.get(identity)
        if until is not None:
            if now < until:
                return Standing.QUARANTINED
            self.quarantined.pop(identity)
        crashed = self.crashed_upstreams.get(identity)
        if not crashed:
            return Standing.FREE
        weak_count = sum(
            self._is_weakly_suspected(lifetime) for lifetime in crashed
        )
        # One more where it is not even known that nobody answers there.
        counted = max(len(crashed) - weak_count, len(crashed) - 1)
        if counted < SUSPECT_THRESHOLD:
            return Standing.WATCHED if counted else Standing.FREE
        has_suspected = any(
            lifetime in self.suspected_crashes for lifetime in crashed
        )
        if counted >= QUARANTINE_THRESHOLD and has_suspected:
            return Standing.HELD
        return Standing.SUSPECT

    def record_crash(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
    ) -> bool:
        """Note that an upstream ended under a request.

        Return whether it is quarantined by that.
        """
        if identity in self.quarantined:
            self._mark_explained({lifetime})
        if lifetime in self._explained:
            return False
        self._add(identity, lifetime)
        return identity in self.confirm_crash(lifetime, now)

    def record_suspected_crash(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
        *,
        is_strong: bool,
    ) -> bool:
        """Note that an upstream may have ended under a request.

        Return whether it is quarantined by that, as the end is certain here.
        """
        if lifetime in self._confirmed:
            return self.record_crash(identity, lifetime, now)
        if identity in self.quarantined or lifetime in self._explained:
            return False
        self._add(identity, lifetime)
        known = self.suspected_crashes.get(
            lifetime, SuspectedCrash(now, is_strong)
        )
        self.suspected_crashes[lifetime] = SuspectedCrash(
            known.since, known.is_strong or is_strong
        )
        return False

    def confirm_crash(
        self,
        lifetime: Lifetime,
        now: float,
    ) -> list[RequestIdentity]:
        """Note that an upstream has certainly ended.

        Return the requests that are quarantined by that.
        """
        self.suspected_crashes.pop(lifetime, None)
        self._confirmed[lifetime] = None
        _evict_oldest(self._confirmed, MAX_EXPLAINED)
        affected = [
            key
            for key, crashed in self.crashed_upstreams.items()
            if lifetime in crashed
        ]
        return [key for key in affected if self._quarantine_if_proven(key, now)]

    def _quarantine_if_proven(
        self, identity: RequestIdentity, now: float
    ) -> bool:
        """Quarantine a request if its ends are certain and its own doing.

        Where another one ran at all of them too, the next trial tells.
        """
        crashed = (
            self.crashed_upstreams.get(identity, set())
            - self.suspected_crashes.keys()
        )
        if len(crashed) < QUARANTINE_THRESHOLD:
            return False
        others = (
            row
            for key, row in self.crashed_upstreams.items()
            if key != identity
        )
        if any(crashed <= row for row in others):
            return False
        self.quarantine(identity, now + QUARANTINE_SECONDS)
        return True

    def record_alive(self, lifetime: Lifetime) -> None:
        """Note that an upstream that was doubted lives."""
        self.suspected_crashes.pop(lifetime, None)
        self._discard_crashes({lifetime})

    def quarantine(self, identity: RequestIdentity, until: float) -> None:
        """Send a request no more; clear those that only ran beside it."""
        explained = self.crashed_upstreams.pop(identity, set())
        self.quarantined[identity] = until
        _evict_oldest(self.quarantined, MAX_QUARANTINED)
        self._mark_explained(explained)

    def clear(self, identity: RequestIdentity) -> None:
        """Forget a request whose answer came whole: it ends no upstream."""
        self.crashed_upstreams.pop(identity, None)

    def _is_weakly_suspected(self, lifetime: Lifetime) -> bool:
        suspected = self.suspected_crashes.get(lifetime)
        return suspected is not None and not suspected.is_strong

    def _add(self, identity: RequestIdentity, lifetime: Lifetime) -> None:
        crashed = self.crashed_upstreams.pop(identity, set())
        self.crashed_upstreams[identity] = crashed | {lifetime}
        self._evict_one()

    def _mark_explained(self, ended: set[Lifetime]) -> None:
        """Count these ends for no other request any more."""
        for lifetime in ended:
            self.suspected_crashes.pop(lifetime, None)
            self._explained[lifetime] = None
        _evict_oldest(self._explained, MAX_EXPLAINED)
        self._discard_crashes(ended)

    def _discard_crashes(self, lifetimes: set[Lifetime]) -> None:
        remaining = {
            other: crashed - lifetimes
            for other, crashed in self.crashed_upstreams.items()
        }
        self.crashed_upstreams = {
            other: crashed for other, crashed in remaining.items() if crashed
        }

    def _evict_one(self) -> None:
        if len(self.crashed_upstreams) <= MAX_TRACKED_REQUESTS:
            return
        with_one_crash = (
            key
            for key, crashed in self.crashed_upstreams.items()
            if len(crashed) == 1
        )
        self.crashed_upstreams.pop(
            next(with_one_crash, next(iter(self.crashed_upstreams)))
        )


def _evict_oldest(rows: dict[Key, Value], most: int) -> None:
    while len(rows) > most:
        rows.pop(next(iter(rows)))


@dataclass(slots=True)
class Trial:
    """Hold the trial that is under way for a service."""

    identity: RequestIdentity
    until: float


@dataclass(slots=True)
class Trials:
    """Hold the suspects that run, one for each service."""

    _running: dict[str, Trial] = field(default_factory=dict)

    def try_begin(
        self,
        service: str,
        identity: RequestIdentity,
        now: float,
    ) -> bool:
        """Begin the trial of a suspect unless another one is under way."""
        running = self._running.get(service)
        if running is not None and now < running.until:
            return False
        self._running[service] = Trial(identity, now + MAX_TRIAL_SECONDS)
        return True

    def end(self, identity: RequestIdentity, until: float) -> None:
        """Let the trial of a request be over at a time, if it is under way."""
        for trial in self._running.values():
            if trial.identity == identity:
                trial.until = min(trial.until, until)
