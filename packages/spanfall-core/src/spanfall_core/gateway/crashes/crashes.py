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
SUSPECT_AFTER = 2
#: Ends after which it is not served any more.
QUARANTINED_AFTER = 3
#: Requests of which ends are remembered: 1.5 MB, measured. Those with one end
#: go first, the oldest before others: they are free anyway.
MOST_REMEMBERED = 4096
#: Seconds for which a request is quarantined, so that it is served again some
#: time after its upstreams were mended: it costs three of them a day at most.
QUARANTINE_SECONDS = 86_400.0
#: Quarantined requests that are kept; the oldest go first. Each has cost three
#: upstreams.
MOST_QUARANTINED = 512
#: Upstreams remembered whose end a quarantine explains: those that ran beside
#: the request may be told of later.
MOST_EXPLAINED = 1024
#: Seconds after which a trial whose end nobody told is taken to be over.
TRIAL_SECONDS = 1.5
#: Seconds after the first part of an answer at which a trial is over: requests
#: that end their upstreams do so before they have given any.
SETTLED_SECONDS = 0.2


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
Held = TypeVar('Held')


@unique
class Sign(StrEnum):
    """Say how surely an upstream ended as a send to it broke."""

    #: Its address refuses: no process is there.
    ENDED = 'ended'
    #: Its address is silent, or closes what it takes: no process answers.
    NO_ANSWER = 'no-answer'
    #: Its address takes connections, which another process may do already; no
    #: other connection from before is left.
    TAKES_CONNECTIONS = 'takes-connections'
    #: Another connection to it from before is still open.
    LIVES = 'lives'


@dataclass(frozen=True, slots=True)
class Doubt:
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
    ends: dict[RequestIdentity, set[Lifetime]] = field(default_factory=dict)
    #: Those of them whose end is not certain.
    doubts: dict[Lifetime, Doubt] = field(default_factory=dict)
    _ended: dict[Lifetime, None] = field(default_factory=dict)
    _explained: dict[Lifetime, None] = field(default_factory=dict)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Tell how a request may be sent."""
        until = self.quarantined.get(identity)
        if until is not None:
            if now < until:
                return Standing.QUARANTINED
            self.quarantined.pop(identity)
        ends = self.ends.get(identity)
        if not ends:
            return Standing.FREE
        weak = sum(self._is_weak(lifetime) for lifetime in ends)
        # One more where it is not even known that nobody answers there.
        counted = max(len(ends) - weak, len(ends) - 1)
        if counted < SUSPECT_AFTER:
            return Standing.WATCHED if counted else Standing.FREE
        is_open = any(lifetime in self.doubts for lifetime in ends)
        if counted >= QUARANTINED_AFTER and is_open:
            return Standing.HELD
        return Standing.SUSPECT

    def note_end(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
    ) -> bool:
        """Note that an upstream ended under a request.

        Return whether it is quarantined by that.
        """
        if identity in self.quarantined:
            self._explain({lifetime})
        if lifetime in self._explained:
            return False
        self._add(identity, lifetime)
        return identity in self.confirm(lifetime, now)

    def note_doubt(
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
        if lifetime in self._ended:
            return self.note_end(identity, lifetime, now)
        if identity in self.quarantined or lifetime in self._explained:
            return False
        self._add(identity, lifetime)
        known = self.doubts.get(lifetime, Doubt(now, is_strong))
        self.doubts[lifetime] = Doubt(known.since, known.is_strong or is_strong)
        return False

    def confirm(
        self,
        lifetime: Lifetime,
        now: float,
    ) -> list[RequestIdentity]:
        """Note that an upstream has certainly ended.

        Return the requests that are quarantined by that.
        """
        self.doubts.pop(lifetime, None)
        self._ended[lifetime] = None
        _keep_newest(self._ended, MOST_EXPLAINED)
        ran_there = [key for key, ends in self.ends.items() if lifetime in ends]
        return [key for key in ran_there if self._is_convicted(key, now)]

    def _is_convicted(self, identity: RequestIdentity, now: float) -> bool:
        """Quarantine a request if its ends are certain and its own doing.

        Where another one ran at all of them too, the next trial tells.
        """
        ends = self.ends.get(identity, set()) - self.doubts.keys()
        if len(ends) < QUARANTINED_AFTER:
            return False
        others = (row for key, row in self.ends.items() if key != identity)
        if any(ends <= row for row in others):
            return False
        self.quarantine(identity, now + QUARANTINE_SECONDS)
        return True

    def absolve(self, lifetime: Lifetime) -> None:
        """Note that an upstream that was doubted lives."""
        self.doubts.pop(lifetime, None)
        self._leave_out({lifetime})

    def quarantine(self, identity: RequestIdentity, until: float) -> None:
        """Send a request no more; clear those that only ran beside it."""
        explained = self.ends.pop(identity, set())
        self.quarantined[identity] = until
        _keep_newest(self.quarantined, MOST_QUARANTINED)
        self._explain(explained)

    def clear(self, identity: RequestIdentity) -> None:
        """Forget a request whose answer came whole: it ends no upstream."""
        self.ends.pop(identity, None)

    def _is_weak(self, lifetime: Lifetime) -> bool:
        doubt = self.doubts.get(lifetime)
        return doubt is not None and not doubt.is_strong

    def _add(self, identity: RequestIdentity, lifetime: Lifetime) -> None:
        ends = self.ends.pop(identity, set())
        self.ends[identity] = ends | {lifetime}
        self._forget_one()

    def _explain(self, ended: set[Lifetime]) -> None:
        """Count these ends for no other request any more."""
        for lifetime in ended:
            self.doubts.pop(lifetime, None)
            self._explained[lifetime] = None
        _keep_newest(self._explained, MOST_EXPLAINED)
        self._leave_out(ended)

    def _leave_out(self, lifetimes: set[Lifetime]) -> None:
        left = {other: ends - lifetimes for other, ends in self.ends.items()}
        self.ends = {other: ends for other, ends in left.items() if ends}

    def _forget_one(self) -> None:
        if len(self.ends) <= MOST_REMEMBERED:
            return
        with_one = (key for key, ends in self.ends.items() if len(ends) == 1)
        self.ends.pop(next(with_one, next(iter(self.ends))))


def _keep_newest(rows: dict[Key, Held], most: int) -> None:
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
        self._running[service] = Trial(identity, now + TRIAL_SECONDS)
        return True

    def end(self, identity: RequestIdentity, until: float) -> None:
        """Let the trial of a request be over at a time, if it is under way."""
        for trial in self._running.values():
            if trial.identity == identity:
                trial.until = min(trial.until, until)
