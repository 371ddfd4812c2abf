"""Hold what a node knows of requests that end upstreams.

Each entry keeps what it saw itself and what it heard to be quarantined, and
tells both to each new home, so that no loss of a home loses them. The home
holds the sum, tries suspects and tells of each quarantine at once; its record
in the store is for a restart of all nodes.
"""

import logging
from dataclasses import dataclass, field
from itertools import islice

import anyio
from spanfall_core.gateway.crashes.crash_signs import settle
from spanfall_core.gateway.crashes.crashes import (
    TRIAL_SETTLE_SECONDS,
    CrashTable,
    Standing,
    Trials,
)
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    Quarantined,
    RunStage,
    WatchedRun,
)

logger = logging.getLogger(__name__)

#: Most requests of which an entry tells a new home what ended under them, the
#: newest: 16 KB, measured with two ends each; 570 entries fill a link of
#: 1,000 Mbit/s for 0.07 s with that.
MOST_REPORTED = 256


@dataclass(slots=True)
class CrashKnowledge:
    """Hold ends of upstreams, what is quarantined and, as home, the trials."""

    table: CrashTable = field(default_factory=CrashTable)
    trials: Trials = field(default_factory=Trials)
    #: Set, and replaced, as another request is quarantined.
    changed: anyio.Event = field(default_factory=anyio.Event)
    #: Set while it is open whether some upstreams have ended.
    doubted: anyio.Event = field(default_factory=anyio.Event)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Tell how a request may be sent, for all that is known here."""
        return self.table.standing(identity, now)

    def note_end(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
    ) -> None:
        """Note that an upstream ended under a request."""
        self.trials.end(identity, now)
        if self.table.record_crash(identity, lifetime, now):
            self._tell_quarantined(identity, lifetime)

    def note_doubt(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
        *,
        is_strong: bool,
    ) -> None:
        """Note that an upstream may have ended under a request."""
        self.trials.end(identity, now)
        table = self.table
        if table.record_suspected_crash(
            identity, lifetime, now, is_strong=is_strong
        ):
            self._tell_quarantined(identity, lifetime)
        if table.suspected_crashes:
            self.doubted.set()

    def settle(
        self,
        directory: Directory,
        heartbeat: float,
        now: float,
    ) -> None:
        """Learn from the platform's list which doubted upstreams ended."""
        settled = settle(
            self.table.suspected_crashes, directory, heartbeat, now
        )
        for lifetime in settled.alive:
            self.table.record_alive(lifetime)
        for ended in settled.ended:
            for identity in self.table.confirm_crash(ended, now):
                self._tell_quarantined(identity, ended)
        if not self.table.suspected_crashes:
            self.doubted = anyio.Event()

    def note_run(self, run: WatchedRun, now: float) -> None:
        """Note how far a watched run has come."""
        if run.stage is RunStage.BEGAN:
            self.trials.end(run.identity, now + TRIAL_SETTLE_SECONDS)
            return
        self.trials.end(run.identity, now)
        if run.stage is RunStage.COMPLETE:
            self.table.clear(run.identity)

    def learn_report(self, report: CrashReport, now: float) -> None:
        """Take over, as the home, what an entry knows."""
        self.learn_quarantined(report.quarantined, now)
        for identity, lifetimes in report.ends.items():
            for lifetime in lifetimes:
                self.note_end(identity, lifetime, now)
        for doubtful, rows in report.doubts.items():
            for doubted, is_strong in rows.items():
                self.note_doubt(doubtful, doubted, now, is_strong=is_strong)

    def learn_quarantined(self, others: Quarantined, now: float) -> None:
        """Take over what another node quarantined."""
        new = others.keys() - self.table.quarantined.keys()
        for identity in new:
            self.table.quarantine(identity, now + others[identity])
            logger.info(
                'Identity %s is not served any more, as others found',
                identity,
            )
        if new:
            self._tell()

    def report(self, now: float) -> CrashReport:
        """Return what is known here, for a new home."""
        newest = dict(
            islice(
                reversed(self.table.crashed_upstreams.items()), MOST_REPORTED
            )
        )
        doubts = self.table.suspected_crashes
        ends = {
            key: tuple(rows - doubts.keys()) for key, rows in newest.items()
        }
        open_ends = {
            key: {one: doubts[one].is_strong for one in rows & doubts.keys()}
            for key, rows in newest.items()
        }
        return CrashReport(
            ends,
            self.quarantined(now),
            is_first=True,
            doubts=open_ends,
        )

    def quarantined(self, now: float) -> Quarantined:
        """Return the quarantined requests and the seconds left."""
        rows = self.table.quarantined.items()
        return {key: until - now for key, until in rows if until > now}

    def _tell_quarantined(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
    ) -> None:
        logger.warning(
            'Upstreams end under identity %s, %s last: '
            'it is not served any more',
            identity,
            lifetime,
        )
        self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
