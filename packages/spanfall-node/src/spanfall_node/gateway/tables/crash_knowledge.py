"""Track traits of requests that crash upstreams.

Each entry keeps the crashes it has observed and the quarantines it has
received, and reports both to each new home, so that the loss of a home loses
neither. The home merges the reports, runs trials of suspects and announces
each quarantine at once; its record in the store serves a restart of all nodes.
Only the home judges parts of prompts: it alone hears of all answers to them.
"""

import logging
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.crashes.crash_signs import settle
from spanfall_core.gateway.crashes.crashes import CrashTable
from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.crashes.sound_parts import SoundParts
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.crashes.traits import (
    Trait,
    named_traits,
    request_traits,
)
from spanfall_core.gateway.crashes.trials import TRIAL_SETTLE_SECONDS, Trials
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.prefixes import PromptPart

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    QuarantineMessage,
    Quarantines,
    RunStage,
    WatchedRun,
)

logger = logging.getLogger(__name__)

#: Maximum number of runs, the newest ones, that an entry reports to a new home.
#: This takes 46 KB.
MAX_REPORTED_RUNS = 256
#: Maximum number of released parts that are announced, the newest ones.
MAX_RELEASED = 64
#: Seconds between two observed runs of a service.
OBSERVED_PERIOD = 0.05


def _is_no_judge() -> bool:
    return False


@dataclass(slots=True)
class CrashState:
    """Hold crashes, quarantines and, on the home, the trials of suspects."""

    table: CrashTable = field(default_factory=CrashTable)
    trials: Trials = field(default_factory=Trials)
    sound_parts: SoundParts = field(default_factory=SoundParts)
    #: Tells whether this node is the home.
    is_judge: Callable[[], bool] = _is_no_judge
    #: Set and replaced when quarantines or suspect parts change.
    changed: anyio.Event = field(default_factory=anyio.Event)
    #: Set while there are unresolved suspected crashes.
    has_suspected_crashes: anyio.Event = field(default_factory=anyio.Event)
    _released: dict[Trait, None] = field(default_factory=dict)
    _suspects: tuple[Trait, ...] = ()
    #: Time of the last observed run of each service.
    _observed_at: dict[str, float] = field(default_factory=dict)

    def standing(self, traits: Collection[Trait], now: float) -> Standing:
        """Return how a request may be sent, as far as this node can tell."""
        return self.table.standing(traits, now)

    def standing_of(
        self,
        identity: RequestIdentity,
        parts: Iterable[PromptPart],
        now: float,
    ) -> Standing:
        """Return how a request with some prompt parts may be sent."""
        if self.table.is_empty:
            return Standing.FREE
        return self.standing(request_traits(identity, parts), now)

    def observes(self, service: str, now: float) -> bool:
        """Return whether to observe a run of a service that is free to go.

        A part that many requests have is observed by some of them.
        """
        if now - self._observed_at.get(service, -math.inf) < OBSERVED_PERIOD:
            return False
        self._observed_at[service] = now
        return True

    def record(self, run: BrokenRun, now: float) -> None:
        """Record that an upstream ended, or seems to have, under a run."""
        self.trials.end(run.identity, now)
        for part in run.traits:
            self._released.pop(part, None)
        quarantined = self.table.record(run, now, judges_parts=self.is_judge())
        if quarantined:
            self._report_quarantine(quarantined, run.lifetime)
        if self.table.evidence.suspected_crashes:
            self.has_suspected_crashes.set()
        self._notify_if_suspects_changed()

    def resolve_suspected_crashes(
        self,
        directory: Directory,
        heartbeat: float,
        now: float,
    ) -> None:
        """Resolve suspected crashes by the platform's list of upstreams."""
        settled = settle(
            self.table.evidence.suspected_crashes,
            directory,
            heartbeat,
            now,
        )
        for lifetime in settled.alive:
            self.table.record_alive(lifetime)
        for ended in settled.ended:
            quarantined = self.table.confirm_crash(
                ended, now, judges_parts=self.is_judge()
            )
            if quarantined:
                self._report_quarantine(quarantined, ended)
        if not self.table.evidence.suspected_crashes:
            self.has_suspected_crashes = anyio.Event()
        self._notify_if_suspects_changed()

    def record_run(self, run: WatchedRun, now: float) -> None:
        """Record the progress of a watched run."""
        if run.stage is RunStage.BEGAN:
            self.trials.end(run.identity, now + TRIAL_SETTLE_SECONDS)
            return
        if run.stage is not RunStage.SOUND:
            self.trials.end(run.identity, now)
        if run.stage is RunStage.COMPLETE:
            self.table.clear_request(Trait(run.identity))
        self._clear_parts(run.parts, run.version)

    def record_sound(
        self, parts: Collection[Trait], version: str | None, now: float
    ) -> None:
        """Record that an upstream answers parts, by a run of this node."""
        self.sound_parts.record(parts, version, now)
        self._clear_parts(parts, version)

    def apply_report(self, report: CrashReport, now: float) -> None:
        """Merge the report of an entry, as the home."""
        self.merge_quarantines(report, now)
        for run in report.runs:
            self.record(run, now)

    def merge_quarantines(self, others: Quarantines, now: float) -> None:
        """Merge the quarantines of another node."""
        verdicts = self.table.verdicts
        new = [one for one in others.quarantined if one not in verdicts.rows]
        for trait in new:
            if trait in verdicts.rows:
                continue
            together = (trait, *others.companions.get(trait, ()))
            seconds = others.quarantined[trait]
            self.table.quarantine(together, now + seconds, seconds)
            logger.info(
                'Requests with %s are quarantined, as reported by another node',
                ' '.join(together),
            )
        if new:
            self._notify_changed()

    def apply_announcement(
        self, message: QuarantineMessage, now: float
    ) -> None:
        """Apply what the home announces."""
        self.table.release(message.released)
        self.table.announced = frozenset(message.suspects)
        self.merge_quarantines(message, now)

    def announcement(self, now: float) -> QuarantineMessage:
        """Return what all entries are to know."""
        known = self.quarantines(now)
        return QuarantineMessage(
            known.quarantined,
            known.companions,
            self.table.suspect_parts(),
            tuple(self._released),
        )

    def report(self, now: float) -> CrashReport:
        """Return the report of this node for a new home."""
        runs = self.table.evidence.runs(now, MAX_REPORTED_RUNS)
        known = self.quarantines(now)
        return CrashReport(
            known.quarantined, known.companions, runs, is_first=True
        )

    def quarantines(self, now: float) -> Quarantines:
        """Return the quarantined traits and their remaining seconds."""
        rows = {
            key: row
            for key, row in self.table.verdicts.rows.items()
            if row.until > now
        }
        return Quarantines(
            {key: row.until - now for key, row in rows.items()},
            {
                key: tuple(row.companions)
                for key, row in rows.items()
                if row.companions
            },
        )

    def _clear_parts(self, parts: Iterable[Trait], version: str | None) -> None:
        cleared = self.table.clear_parts(parts, version)
        if not cleared:
            return
        for part in cleared:
            self._released.pop(part, None)
            self._released[part] = None
        while len(self._released) > MAX_RELEASED:
            self._released.pop(next(iter(self._released)))
        if self.is_judge():
            logger.info(
                'Upstreams answer %s: its crashes count no more',
                ' '.join(cleared),
            )
        self._notify_changed()

    def _report_quarantine(
        self, traits: Collection[Trait], lifetime: str
    ) -> None:
        logger.warning(
            'Upstreams end under %s, %s last: requests with it are quarantined',
            named_traits(traits),
            lifetime,
        )
        self._notify_changed()

    def _notify_if_suspects_changed(self) -> None:
        if not self.is_judge():
            return
        suspects = self.table.suspect_parts()
        if suspects != self._suspects:
            self._suspects = suspects
            logger.info(
                'Requests tried alone: %s', ' '.join(suspects) or 'none'
            )
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
