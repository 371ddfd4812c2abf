"""Find the request that crashes upstreams among those that run beside it.

When the process of an upstream ends, all requests that it runs fail, so one
crash says little about any of them. A request that was running at two crashes
is a suspect: it is tried alone, one suspect per service at a time in the whole
fleet, so that it is itself the cause of a third crash.

Some crashes are detected seconds after the caller has retried the request. A
suspected crash therefore counts at once, but it only holds the request back.
Only confirmed crashes put a request in quarantine.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import TypeVar

from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Crashes after which a request is tried alone. With 1, all requests of a
#: reclaimed upstream would have to wait for each other.
SUSPECT_THRESHOLD = 2
#: Confirmed crashes after which a request is quarantined.
QUARANTINE_THRESHOLD = 3
#: Maximum number of requests whose crashes are tracked; they take 1.5 MB.
#: Requests with one crash are evicted first, the oldest first, as they may be
#: sent without restriction anyway.
MAX_TRACKED_REQUESTS = 4096
#: Seconds for which a request is quarantined. It is served again afterwards,
#: as the upstreams may have been fixed; it crashes at most three of them a day.
QUARANTINE_SECONDS = 86_400.0
#: Maximum number of quarantined requests; the oldest are evicted first. Each
#: has crashed three upstreams.
MAX_QUARANTINED = 512
#: Maximum number of ended upstreams that are remembered, for those whose end a
#: quarantine explains and for all confirmed ones: other requests that ran there
#: may be reported later.
MAX_EXPLAINED = 1024


@unique
class Standing(StrEnum):
    """State whether and how a request may be sent."""

    #: No restriction.
    FREE = 'free'
    #: An upstream may have crashed under it; entries report how the run ends.
    WATCHED = 'watched'
    #: It is sent only as the one running trial of its service.
    SUSPECT = 'suspect'
    #: It is not sent until its suspected crashes are settled.
    HELD = 'held'
    #: It is refused until the quarantine expires.
    QUARANTINED = 'quarantined'


Key = TypeVar('Key')
Stored = TypeVar('Stored')


@unique
class ProbeResult(StrEnum):
    """State what a probe says about an upstream after a send to it broke."""

    #: Its address refuses connections: no process listens there.
    ENDED = 'ended'
    #: Its address does not answer, or closes each connection it accepts.
    NO_ANSWER = 'no-answer'
    #: Its address accepts connections, but possibly those of a new process: no
    #: earlier connection is open any more.
    ACCEPTS_CONNECTIONS = 'takes-connections'
    #: An earlier connection to it is still open.
    ALIVE = 'lives'
    #: Only a peer reaches it, or no node does: the path broke.
    NO_PATH = 'no-path'


@dataclass(frozen=True, slots=True)
class SuspectedCrash:
    """Hold the time and the strength of the suspicion of a crash."""

    since: float
    #: True if no process answers; false if one does, which may be a new one.
    is_strong: bool


@dataclass(slots=True)
class CrashTable:
    """Record which upstreams crashed while they ran which request."""

    #: Time at which the quarantine of a request expires, the oldest first.
    quarantined: dict[RequestIdentity, float] = field(default_factory=dict)
    #: Upstreams that crashed, or are suspected to have, by request that is not
    #: quarantined; the least recently updated request first.
    crashed_upstreams: dict[RequestIdentity, set[Lifetime]] = field(
        default_factory=dict
    )
    #: Those of them whose crash is not confirmed.
    suspected_crashes: dict[Lifetime, SuspectedCrash] = field(
        default_factory=dict
    )
    _confirmed: dict[Lifetime, None] = field(default_factory=dict)
    _explained: dict[Lifetime, None] = field(default_factory=dict)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return whether and how a request may be sent."""
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
        # All weakly suspected crashes together reduce the count by one at most.
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
        """Record that an upstream crashed while it ran a request.

        Return whether this puts the request in quarantine.
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
        """Record that an upstream may have crashed while it ran a request.

        Return whether this puts the request in quarantine, which happens only
        if the end of the upstream is already confirmed here.
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
        """Record that an upstream has certainly ended.

        Return the requests that this puts in quarantine.
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
        """Quarantine a request if confirmed crashes prove it to be the cause.

        If another request was running at all of them too, the next trial has to
        decide.
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
        """Record that a suspected upstream is alive."""
        self.suspected_crashes.pop(lifetime, None)
        self._discard_crashes({lifetime})

    def quarantine(self, identity: RequestIdentity, until: float) -> None:
        """Quarantine a request; discard its crashes from requests beside it."""
        explained = self.crashed_upstreams.pop(identity, set())
        self.quarantined[identity] = until
        _evict_oldest(self.quarantined, MAX_QUARANTINED)
        self._mark_explained(explained)

    def clear(self, identity: RequestIdentity) -> None:
        """Forget a request that got a complete answer: it crashes nothing."""
        self.crashed_upstreams.pop(identity, None)

    def _is_weakly_suspected(self, lifetime: Lifetime) -> bool:
        suspected = self.suspected_crashes.get(lifetime)
        return suspected is not None and not suspected.is_strong

    def _add(self, identity: RequestIdentity, lifetime: Lifetime) -> None:
        crashed = self.crashed_upstreams.pop(identity, set())
        self.crashed_upstreams[identity] = crashed | {lifetime}
        self._evict_one()

    def _mark_explained(self, ended: set[Lifetime]) -> None:
        """Stop counting these crashes for any other request."""
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


def _evict_oldest(rows: dict[Key, Stored], max_count: int) -> None:
    while len(rows) > max_count:
        rows.pop(next(iter(rows)))
