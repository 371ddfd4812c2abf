"""Hold the tables that the parts of a gateway share."""

import logging
from dataclasses import dataclass, field, replace

import anyio
from spanfall_api.gateway_settings import GatewaySettings
from spanfall_core.gateway.known.configuration import (
    CallerLimits,
    ServedConfiguration,
)
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.engine_model import (
    PrefillSpeed,
    PrefillSums,
    clamp_wait,
    prefill_work,
)
from spanfall_core.gateway.known.fleet import Counts, EntryReport, FleetState
from spanfall_core.gateway.known.freshness import Freshness
from spanfall_core.gateway.known.limits import EffectiveLimits, Limit
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.reporting import silent_after
from spanfall_core.gateway.known.true_time import TrueTime
from spanfall_core.gateway.known.unit_reports import AllocatedUnits
from spanfall_core.gateway.known.usage import UsageCounts
from spanfall_core.gateway.limits.quotas import Quotas
from spanfall_core.gateway.limits.shared_levels import QuotaAllocator
from spanfall_core.gateway.routing.balance import PromptHistory
from spanfall_core.gateway.routing.grants import EntryLoad, GrantBook
from spanfall_core.gateway.routing.retry_budget import RetryBudget

from spanfall_node.gateway.links.succession_messages import (
    HomeRecord,
)
from spanfall_node.gateway.net.ports import PlatformAdapter
from spanfall_node.gateway.tables.counters import Counters
from spanfall_node.gateway.tables.crash_knowledge import CrashKnowledge
from spanfall_node.gateway.tables.tenure import Tenure, is_giver
from spanfall_node.gateway.tables.upstream_words import UpstreamWords
from spanfall_node.timers import Timers

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class GatewayState:
    """Hold everything that one gateway knows."""

    cfg: GatewaySettings
    platform: PlatformAdapter
    timers: Timers
    incarnation: str
    counters: Counters
    freshness: Freshness
    quotas: Quotas
    retries: RetryBudget
    usage: UsageCounts
    true_time: TrueTime
    #: What upstreams say of themselves, and the list of them, which heeds it.
    words: UpstreamWords
    directory: Directory
    configuration: ServedConfiguration | None = None
    #: The configuration as the store holds it, to be passed on.
    configuration_source: bytes = b''
    loads: Loads = field(default_factory=Loads)
    #: What this node has sent itself, and what it granted as the home.
    prompts: PromptHistory = field(default_factory=PromptHistory)
    granted_prompts: PromptHistory = field(default_factory=PromptHistory)
    fleet: FleetState = field(default_factory=FleetState)
    crashes: CrashKnowledge = field(default_factory=CrashKnowledge)
    limits_in_force: EffectiveLimits = field(default_factory=EffectiveLimits)
    shared_levels: QuotaAllocator = field(default_factory=QuotaAllocator)
    #: As the home: what runs everywhere.
    grant_book: GrantBook = field(default_factory=GrantBook)
    home: HomeRecord | None = None
    #: Set, and replaced, as another node is the home or none is known.
    home_changed: anyio.Event = field(default_factory=anyio.Event)
    #: Set, and replaced, as what runs here changes, or the home does: a node
    #: that has nothing to do need not look for it twenty times a second.
    load_changed: anyio.Event = field(default_factory=anyio.Event)
    tenure: Tenure | None = None
    #: Epoch of a home that said itself that it acts no more: its record may be
    #: replaced at once.
    vacant_epoch: int = 0
    #: Set to look the home up at once.
    look_now: anyio.Event = field(default_factory=anyio.Event)
    #: When the home last answered.
    home_heard_at: float = float('-inf')
    #: Work of reading that was sent to upstreams, by service, in tokens.
    read_work: Counts = field(default_factory=dict)
    #: What requests here showed of the speed of reading.
    reading: dict[str, PrefillSums] = field(default_factory=dict)
    #: Upstreams that each service needs, as the home says.
    needs: dict[str, float] = field(default_factory=dict)
    #: Whether the home says that another is to be looked for.
    home_resigned: bool = False
    draining_since: float | None = None
    #: Requests that callers wait for.
    open_requests: int = 0

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force for callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return self.configuration.version if self.configuration else 0

    @property
    def entry_key(self) -> str:
        """Name this node and its incarnation."""
        return f'{self.cfg.node}/{self.incarnation}'

    def is_home(self, now: float) -> bool:
        """Tell whether this node certainly is the home."""
        return self.tenure is not None and now < self.tenure.valid_until

    def is_ready(self, now: float) -> bool:
        """Tell whether new callers should be sent here."""
        if self.draining_since is not None or self.configuration is None:
            return False
        return self.freshness.is_ready(now)

    def own_load(self, seen: int) -> EntryLoad:
        """Return what runs here, which includes grants up to a number."""
        prefill = dict(+self.loads.prefill)
        return EntryLoad(dict(self.loads.running), prefill, seen)

    def note_read_work(self, service: str, prefill: int) -> None:
        """Count the work of reading of a request that is sent."""
        known = self.read_work.get(service, 0)
        self.read_work[service] = known + round(prefill_work(prefill))

    def note_first_token(
        self,
        service: str,
        prefill: int,
        seconds: float,
    ) -> None:
        """Learn from a prompt that nothing else waited before."""
        work = prefill_work(prefill)
        known = self.prompts.speed(service)
        believed = clamp_wait(seconds, known.seconds(work))
        sums = self.reading.setdefault(service, PrefillSums())
        sums.add(work, believed)

    def learn_speeds(self, speeds: dict[str, PrefillSpeed]) -> None:
        """Follow what the home learned of the speed of reading."""
        self.prompts.speeds = speeds
        self.granted_prompts.speeds = speeds

    def learn_size(self, entries: int) -> None:
        """Share limits and retries with so many entries."""
        self.quotas.entries = entries
        self.retries.entries = entries

    def learn_own_load(self, now: float) -> None:
        """Count what runs here, as the home that also serves callers."""
        self.grant_book.apply_report(self.entry_key, self.own_load(0), now)

    def learn_report(self, report: EntryReport, now: float) -> None:
        """Take over the report of an entry as the home."""
        self.fleet.apply_report(report, now)
        self.shared_levels.apply_report(
            report.key,
            report.spending,
            self.limits_at(now),
            now,
            silent_after(self.fleet.period(now)),
        )

    def own_report(self) -> EntryReport:
        """Return what this node, as the home, is to know of itself."""
        is_known = self.shared_levels.has_reported(self.entry_key)
        return self.report(to_new_home=not is_known)

    def give_units(self, entry: str, now: float) -> AllocatedUnits | None:
        """Return what an entry may spend, or None if this is not the home.

        Only the holder of the lease gives units, so no two homes give the
        same ones.
        """
        if not is_giver(self.tenure, now):
            return None
        return self.shared_levels.allocate(entry, self.limits_at(now), now)

    def lend_units(
        self,
        entry: str,
        workspace: str,
        units: float,
        now: float,
    ) -> float:
        """Return the units that an entry gets besides, 0 if there are none."""
        if not is_giver(self.tenure, now):
            return 0
        limits = self.limits_at(now)
        return self.shared_levels.lend(entry, workspace, units, limits, now)

    def learn_given(
        self,
        given: AllocatedUnits | None,
        report: EntryReport,
        now: float,
    ) -> None:
        """Take over the units that the home gives after a report."""
        limits = self.limits_at(now)
        if given is None:
            self.quotas.enter_standalone(limits, now)
            return
        self.quotas.apply_given(given, report.spending, limits, now)

    def follow_home(self, home: HomeRecord, now: float) -> None:
        """Take another node as the home, unless it is an earlier one."""
        known = self.home
        if known is not None and home.epoch <= known.epoch:
            return
        logger.info('The home is %s, epoch %s', home.node, home.epoch)
        self.note_home(home)
        self.home_heard_at = now
        self.home_resigned = False
        self.tenure = None

    def note_home(self, home: HomeRecord | None) -> None:
        """Take a node as the home, or none, and wake who waits for that."""
        self.home = home
        self.home_changed.set()
        self.home_changed = anyio.Event()
        self.note_load()

    def note_load(self) -> None:
        """Wake who waits for a change of what runs here."""
        self.load_changed.set()
        self.load_changed = anyio.Event()

    def note_vacant(self, epoch: int) -> None:
        """Note that a home acts no more, and look for another at once."""
        self.vacant_epoch = max(self.vacant_epoch, epoch)
        self.home_resigned = True
        self.look_now.set()

    def lose_home(self) -> None:
        """Go on alone: nobody tells what the other entries do."""
        self.note_home(None)
        now = self.timers.now()
        self.quotas.enter_standalone(self.limits_at(now), now)
        self.loads.reset_others()

    def pressed(self, now: float) -> dict[str, list[float]]:
        """Return what workspaces spent that use much of their limits."""
        return self.shared_levels.spending_to_record(self.limits_at(now), now)

    def limits_at(self, now: float) -> dict[str, Limit]:
        """Return the limits of workspaces that bind now."""
        if self.configuration is None:
            return {}
        window = self.cfg.bounds.quota_window_seconds
        configured = self.configuration.quotas(window)
        return self.limits_in_force.at(configured, now)

    def report(self, *, to_new_home: bool = True) -> EntryReport:
        """Return what the home is to know of this entry."""
        now = self.timers.now()
        limits = self.limits_at(now)
        if to_new_home:
            spending = self.quotas.report(limits, now)
        else:
            spending = self.quotas.brief_report(limits, now)
        load = self.own_load(0)
        return EntryReport(
            node=self.cfg.node,
            incarnation=self.incarnation,
            running=load.running,
            prefill=load.prefill,
            failed=dict(self.loads.failed),
            spending=spending,
            usage={key: dict(row) for key, row in self.usage.windows.items()},
            read_work=dict(self.read_work),
            reading={key: replace(row) for key, row in self.reading.items()},
        )
