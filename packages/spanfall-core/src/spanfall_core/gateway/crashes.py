"""Tell which request ends the upstreams that run it from those beside it.

All that an upstream runs breaks when its process ends, so one end says little
of a request. One that was there at two ends is suspect: it is tried alone, one
over the whole fleet at a time, so that a third end is its own doing.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import TypeVar

from spanfall_core.gateway.identity import RequestIdentity
from spanfall_core.gateway.lifetimes import Lifetime

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
    #: It is not sent any more.
    QUARANTINED = 'quarantined'


Key = TypeVar('Key')
Held = TypeVar('Held')


@dataclass(slots=True)
class CrashTable:
    """Hold under which requests upstreams ended."""

    #: Requests that are not sent until a time, the oldest first.
    quarantined: dict[RequestIdentity, float] = field(default_factory=dict)
    #: Upstreams that ended under each other request, oldest first.
    ends: dict[RequestIdentity, set[Lifetime]] = field(default_factory=dict)
    _explained: dict[Lifetime, None] = field(default_factory=dict)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Tell how a request may be sent."""
        until = self.quarantined.get(identity)
        if until is not None:
            if now < until:
                return Standing.QUARANTINED
            self.quarantined.pop(identity)
        ends = len(self.ends.get(identity, ()))
        if not ends:
            return Standing.FREE
        return Standing.SUSPECT if ends >= SUSPECT_AFTER else Standing.WATCHED

    def note_end(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
    ) -> bool:
        """Note that an upstream ended under a request.

        Return whether it is quarantined by that.
        """
        if identity in self.quarantined or lifetime in self._explained:
            return False
        ends = self.ends.pop(identity, set()) | {lifetime}
        self.ends[identity] = ends
        if len(ends) >= QUARANTINED_AFTER:
            self.quarantine(identity, now + QUARANTINE_SECONDS)
            return True
        self._forget_one()
        return False

    def quarantine(self, identity: RequestIdentity, until: float) -> None:
        """Send a request no more; clear those that only ran beside it."""
        explained = self.ends.pop(identity, set())
        self._explained.update(dict.fromkeys(explained))
        self.quarantined[identity] = until
        _keep_newest(self.quarantined, MOST_QUARANTINED)
        _keep_newest(self._explained, MOST_EXPLAINED)
        left = {other: ends - explained for other, ends in self.ends.items()}
        self.ends = {other: ends for other, ends in left.items() if ends}

    def clear(self, identity: RequestIdentity) -> None:
        """Forget a request whose answer came whole: it ends no upstream."""
        self.ends.pop(identity, None)

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
