"""Define the state that the components of a gateway share."""

import logging
from dataclasses import dataclass, field, replace

import anyio
from spanfall_api.gateway_settings import GatewaySettings
from spanfall_core.gateway.known.call_durations import CallDurations
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
from spanfall_core.gateway.known.upstream_speeds import UpstreamSpeeds
from spanfall_core.gateway.known.usage import UsageCounts
from spanfall_core.gateway.limits.memory_budget import MemoryBudget
from spanfall_core.gateway.limits.quota_allocator import QuotaAllocator
from spanfall_core.gateway.limits.quotas import Quotas
from spanfall_core.gateway.orders.reclaims import SeenReclaims
from spanfall_core.gateway.routing.grants import EntryLoad, GrantBook
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.retry_budget import RetryBudget

from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.net.ports import PlatformAdapter
from spanfall_node.gateway.net.turns import Turns
from spanfall_node.gateway.tables.contention import ContentionState
from spanfall_node.gateway.tables.counters import Counters
from spanfall_node.gateway.tables.crash_knowledge import CrashState
from spanfall_node.gateway.tables.known_streams import KnownStreams
from spanfall_node.gateway.tables.reach import Reach
from spanfall_node.gateway.tables.scheduling import Scheduling
from spanfall_node.gateway.tables.shutdown import Shutdown
from spanfall_node.gateway.tables.tenure import Tenure, can_allocate
from spanfall_node.gateway.tables.upstream_words import UpstreamStatements
from spanfall_node.timers import Timers

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class GatewayState:
    """Hold the shared state of one gateway."""

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
    #: Statements of upstreams about themselves, and the directory of upstreams,
    #: which takes them into account.
    words: UpstreamStatements
    directory: Directory
    scheduling: Scheduling
    contention: ContentionState = field(default_factory=ContentionState)
    configuration: ServedConfiguration | None = None
    #: Configuration as stored, for forwarding to other nodes.
    configuration_source: bytes = b''
    loads: Loads = field(default_factory=Loads)
    upstream_speeds: UpstreamSpeeds = field(default_factory=UpstreamSpeeds)
    call_durations: CallDurations = field(default_factory=CallDurations)
    #: Prompts that this node has sent, and prompts that it granted as the home.
    prompts: PromptHistory = field(default_factory=PromptHistory)
    granted_prompts: PromptHistory = field(default_factory=PromptHistory)
    reach: Reach = field(default_factory=Reach)
    fleet: FleetState = field(default_factory=FleetState)
    crashes: CrashState = field(default_factory=CrashState)
    streams: KnownStreams = field(default_factory=KnownStreams)
    effective_limits: EffectiveLimits = field(default_factory=EffectiveLimits)
    quota_allocator: QuotaAllocator = field(default_factory=QuotaAllocator)
    #: On the home: running requests of the whole fleet.
    grant_book: GrantBook = field(default_factory=GrantBook)
    home: HomeRecord | None = None
    #: Set and replaced when the known home changes or is lost.
    home_changed: anyio.Event = field(default_factory=anyio.Event)
    #: Set and replaced when the load of this node or the home changes.
    load_changed: anyio.Event = field(default_factory=anyio.Event)
    tenure: Tenure | None = None
    #: Epoch of a home that reported its own resignation: its record may be
    #: replaced at once.
    vacant_epoch: int = 0
    #: Set to trigger an immediate lookup of the home.
    lookup_requested: anyio.Event = field(default_factory=anyio.Event)
    #: Time of the last answer of the home.
    home_answered_at: float = float('-inf')
    #: Prefill work sent to upstreams, by service, in tokens.
    read_work: Counts = field(default_factory=dict)
    #: Measurements of the prefill speed by requests of this node.
    reading: dict[str, PrefillSums] = field(default_factory=dict)
    #: Number of upstreams that each service needs, as reported by the home.
    needs: dict[str, float] = field(default_factory=dict)
    #: Reclaims that homes have seen, by service.
    reclaims: dict[str, SeenReclaims] = field(default_factory=dict)
    #: Whether the home has resigned and another one must be found.
    home_resigned: bool = False
    draining_since: float | None = None
    shutdown: Shutdown = field(default_factory=Shutdown)
    memory: MemoryBudget = field(default_factory=lambda: MemoryBudget(0))
    turns: Turns = field(default_factory=lambda: Turns(anyio.current_time))
    #: Number of requests whose callers are waiting.
    open_requests: int = 0

    @property
    def limits(self) -> CallerLimits:
        """Return the current limits for callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    @property
    def version(self) -> int:
        """Return the version of the current configuration, or 0."""
        return self.configuration.version if self.configuration else 0

    @property
    def entry_key(self) -> str:
        """Return the key of this node and its incarnation."""
        return f'{self.cfg.node}/{self.incarnation}'

    def is_home(self, now: float) -> bool:
        """Check whether this node is the home and its lease is still valid."""
        return self.tenure is not None and now < self.tenure.valid_until

    def is_ready(self, now: float) -> bool:
        """Check whether the node accepts new callers."""
        if self.draining_since is not None or self.configuration is None:
            return False
        return self.freshness.is_ready(now)

    def own_load(self, seen: int) -> EntryLoad:
        """Return the load of this node, including grants up to number ``seen``."""
        prefill = dict(+self.loads.prefill)
        return EntryLoad(dict(self.loads.running), prefill, seen)

    def record_prefill_work(self, service: str, prefill: int) -> None:
        """Count the prefill work of a request that is sent."""
        known = self.read_work.get(service, 0)
        self.read_work[service] = known + round(prefill_work(prefill))

    def record_first_token(
        self, service: str, prefill: int, seconds: float
    ) -> None:
        """Update the prefill speed by a prompt that did not have to queue."""
        work = prefill_work(prefill)
        known = self.prompts.speed(service)
        clamped = clamp_wait(seconds, known.seconds(work))
        sums = self.reading.setdefault(service, PrefillSums())
        sums.add(work, clamped)

    def set_prefill_speeds(self, speeds: dict[str, PrefillSpeed]) -> None:
        """Apply the prefill speeds that the home has determined."""
        self.prompts.speeds = speeds
        self.granted_prompts.speeds = speeds

    def record_own_load(self, now: float) -> None:
        """Record the load of this node, as the home that also serves callers."""
        self.grant_book.apply_report(self.entry_key, self.own_load(0), now)

    def apply_report(self, report: EntryReport, now: float) -> None:
        """Apply the report of an entry, as the home."""
        self.fleet.apply_report(report, now)
        self.quota_allocator.apply_report(
            report.key,
            report.spending,
            self.limits_at(now),
            now,
            silent_after(self.fleet.period(now)),
        )

    def own_report(self) -> EntryReport:
        """Return the report of this node to itself as the home."""
        is_known = self.quota_allocator.has_reported(self.entry_key)
        return self.report(to_new_home=not is_known)

    def allocate_units(self, entry: str, now: float) -> AllocatedUnits | None:
        """Allocate units to an entry; return None if this is not the home.

        Only the holder of the lease allocates units, so no two homes allocate
        the same ones.
        """
        if not can_allocate(self.tenure, now):
            return None
        return self.quota_allocator.allocate(entry, self.limits_at(now), now)

    def lend_units(
        self,
        entry: str,
        workspace: str,
        units: float,
        now: float,
    ) -> float:
        """Return the number of additional units lent to an entry, or 0."""
        if not can_allocate(self.tenure, now):
            return 0
        limits = self.limits_at(now)
        return self.quota_allocator.lend(entry, workspace, units, limits, now)

    def apply_given(
        self, given: AllocatedUnits | None, report: EntryReport, now: float
    ) -> None:
        """Apply the units that the home has allocated after a report."""
        limits = self.limits_at(now)
        if given is None:
            self.quotas.enter_standalone(limits, now)
            return
        self.quotas.apply_given(given, report.spending, limits, now)

    def follow_home(self, home: HomeRecord, now: float) -> None:
        """Follow another node as the home unless its epoch is not newer."""
        known = self.home
        if known is not None and home.epoch <= known.epoch:
            return
        logger.info('Following home %s, epoch %s', home.node, home.epoch)
        self.update_home(home)
        self.home_answered_at = now
        self.home_resigned = False
        self.tenure = None
        self.contention.end_tenure()

    def update_home(self, home: HomeRecord | None) -> None:
        """Set or clear the known home and wake the tasks that wait for it."""
        self.home = home
        self.home_changed.set()
        self.home_changed = anyio.Event()
        self.notify_load_changed()

    def notify_load_changed(self) -> None:
        """Wake the tasks that wait for a change of the load."""
        self.load_changed.set()
        self.load_changed = anyio.Event()
        self.contention.notify_room_changed()

    def record_vacant_home(self, epoch: int) -> None:
        """Record that a home has resigned and look up another one at once."""
        self.vacant_epoch = max(self.vacant_epoch, epoch)
        self.home_resigned = True
        self.lookup_requested.set()

    def lose_home(self) -> None:
        """Continue without a home, which reported the other entries' load."""
        self.update_home(None)
        now = self.timers.now()
        self.quotas.enter_standalone(self.limits_at(now), now)
        self.loads.reset_others()

    def spending_to_record(self, now: float) -> dict[str, list[float]]:
        """Return the spending of workspaces with high usage, to be recorded."""
        return self.quota_allocator.spending_to_record(self.limits_at(now), now)

    def limits_at(self, now: float) -> dict[str, Limit]:
        """Return the limits of workspaces that apply now."""
        if self.configuration is None:
            return {}
        window = self.cfg.bounds.quota_window_seconds
        configured = self.configuration.quotas(window)
        return self.effective_limits.at(configured, now)

    def report(self, *, to_new_home: bool = True) -> EntryReport:
        """Return the report of this entry for the home."""
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
            retries=self.retries.recent_counts(now),
        )
