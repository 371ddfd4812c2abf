"""Track requests that crash upstreams.

Each entry keeps the crashes it has observed and the quarantines it has
received, and reports both to each new home, so that the loss of a home loses
neither. The home merges the reports, runs trials of suspects and announces
each quarantine at once; its record in the store serves a restart of all nodes.
"""

import logging
from dataclasses import dataclass, field
from itertools import islice

import anyio
from spanfall_core.gateway.crashes.crash_signs import settle
from spanfall_core.gateway.crashes.crashes import (
    CrashTable,
    Standing,
)
from spanfall_core.gateway.crashes.trials import TRIAL_SETTLE_SECONDS, Trials
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

#: Maximum number of requests, the newest ones, whose crashes an entry reports
#: to a new home. This takes 16 KB with two crashes each; the reports of 570
#: entries take 0.07 s on a 1,000 Mbit/s link.
MAX_REPORTED_REQUESTS = 256


@dataclass(slots=True)
class CrashState:
    """Hold crashes, quarantines and, on the home, the trials of suspects."""

    table: CrashTable = field(default_factory=CrashTable)
    trials: Trials = field(default_factory=Trials)
    #: Set and replaced when another request is quarantined.
    changed: anyio.Event = field(default_factory=anyio.Event)
    #: Set while there are unresolved suspected crashes.
    has_suspected_crashes: anyio.Event = field(default_factory=anyio.Event)

    def standing(self, identity: RequestIdentity, now: float) -> Standing:
        """Return how a request may be sent, as far as this node can tell."""
        return self.table.standing(identity, now)

    def record_crash(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
    ) -> None:
        """Record that an upstream crashed under a request."""
        self.trials.end(identity, now)
        if self.table.record_crash(identity, lifetime, now):
            self._report_quarantine(identity, lifetime)

    def record_suspected_crash(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
        now: float,
        *,
        is_strong: bool,
    ) -> None:
        """Record that an upstream may have crashed under a request."""
        self.trials.end(identity, now)
        table = self.table
        if table.record_suspected_crash(
            identity,
            lifetime,
            now,
            is_strong=is_strong,
        ):
            self._report_quarantine(identity, lifetime)
        if table.suspected_crashes:
            self.has_suspected_crashes.set()

    def resolve_suspected_crashes(
        self,
        directory: Directory,
        heartbeat: float,
        now: float,
    ) -> None:
        """Resolve suspected crashes by the platform's list of upstreams."""
        settled = settle(
            self.table.suspected_crashes,
            directory,
            heartbeat,
            now,
        )
        for lifetime in settled.alive:
            self.table.record_alive(lifetime)
        for ended in settled.ended:
            for identity in self.table.confirm_crash(ended, now):
                self._report_quarantine(identity, ended)
        if not self.table.suspected_crashes:
            self.has_suspected_crashes = anyio.Event()

    def record_run(self, run: WatchedRun, now: float) -> None:
        """Record the progress of a watched run."""
        if run.stage is RunStage.BEGAN:
            self.trials.end(run.identity, now + TRIAL_SETTLE_SECONDS)
            return
        self.trials.end(run.identity, now)
        if run.stage is RunStage.COMPLETE:
            self.table.clear(run.identity)

    def apply_report(self, report: CrashReport, now: float) -> None:
        """Merge the report of an entry, as the home."""
        self.merge_quarantined(report.quarantined, now)
        for identity, lifetimes in report.ends.items():
            for lifetime in lifetimes:
                self.record_crash(identity, lifetime, now)
        for suspect, rows in report.doubts.items():
            for suspected, is_strong in rows.items():
                self.record_suspected_crash(
                    suspect,
                    suspected,
                    now,
                    is_strong=is_strong,
                )

    def merge_quarantined(self, others: Quarantined, now: float) -> None:
        """Merge the quarantines of another node."""
        new = others.keys() - self.table.quarantined.keys()
        for identity in new:
            self.table.quarantine(identity, now + others[identity])
            logger.info(
                'Identity %s is quarantined, as reported by another node',
                identity,
            )
        if new:
            self._notify_changed()

    def report(self, now: float) -> CrashReport:
        """Return the report of this node for a new home."""
        newest = dict(
            islice(
                reversed(self.table.crashed_upstreams.items()),
                MAX_REPORTED_REQUESTS,
            ),
        )
        doubts = self.table.suspected_crashes
        ends = {
            key: tuple(rows - doubts.keys()) for key, rows in newest.items()
        }
        suspected = {
            key: {one: doubts[one].is_strong for one in rows & doubts.keys()}
            for key, rows in newest.items()
        }
        return CrashReport(
            ends,
            self.quarantined(now),
            is_first=True,
            doubts=suspected,
        )

    def quarantined(self, now: float) -> Quarantined:
        """Return the quarantined requests and their remaining seconds."""
        rows = self.table.quarantined.items()
        return {key: until - now for key, until in rows if until > now}

    def _report_quarantine(
        self,
        identity: RequestIdentity,
        lifetime: Lifetime,
    ) -> None:
        logger.warning(
            'Upstreams end under identity %s, %s last: '
            'requests with this identity are quarantined',
            identity,
            lifetime,
        )
        self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
