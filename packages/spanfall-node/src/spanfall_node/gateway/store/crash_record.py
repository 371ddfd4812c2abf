"""Record quarantines, and the evidence on suspect parts, in the store.

The record is written when either changes. It serves a restart of all nodes and
entries that reach the store but not the home.
"""

import logging
from itertools import chain

import anyio
import msgspec
from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.crashes.traits import Trait
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    Quarantines,
)
from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    StoreError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Key of the record in the store.
CRASHES_KEY = 'spanfall/crashes'
#: Seconds between two checks whether the record is outdated.
POLL_SECONDS = 0.25
#: Seconds between two reads of an entry without contact to the home. Together
#: with the home's write this stays below the three seconds within which
#: platforms require that all entries apply a quarantine; 570 entries make 285
#: calls per second.
READ_PERIOD = 2.0
#: Maximum number of recorded runs.
MAX_RECORDED_RUNS = 128
#: Traits with their companions, and with the ends under them, in a record.
RecordKey = frozenset[tuple[Trait, frozenset[Trait] | Lifetime]]
NOTHING_WRITTEN: RecordKey = frozenset()


class CrashRecordContent(Quarantines, frozen=True):
    """Hold the remaining quarantine of each trait at the time of writing."""

    #: Evidence on parts that are suspects.
    runs: tuple[BrokenRun, ...] = ()


class CrashRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        self._written = NOTHING_WRITTEN
        self._read_at = float('-inf')

    async def read(self) -> None:
        """Read the record and merge its content.

        Raises:
            StoreError: the record cannot be read.
        """
        self._read_at = self._state.timers.now()
        item = await self._store.get(CRASHES_KEY)
        if item is None:
            self._written = NOTHING_WRITTEN
            return
        content = decode_record(item, CrashRecordContent)
        if content is None:
            return
        self._written = _key_of(content)
        report = CrashReport(
            content.quarantined, content.companions, content.runs
        )
        now = self._state.timers.now()
        self._state.crashes.apply_report(report, now)

    async def run(self) -> None:
        """Keep the record and this node in sync, until cancelled.

        The home writes the record; an entry without a home reads it.
        """
        while True:
            with anyio.move_on_after(POLL_SECONDS):
                await self._state.crashes.changed.wait()
            now = self._state.timers.now()
            try:
                await self._sync_record(now)
            except StoreError as exc:
                logger.info('Could not read or write the crash record: %r', exc)
                await anyio.sleep(POLL_SECONDS)

    async def _sync_record(self, now: float) -> None:
        if self._state.is_home(now):
            await self._write_if_outdated(now)
        elif self._is_standalone(now) and now - self._read_at >= READ_PERIOD:
            await self.read()

    async def _write_if_outdated(self, now: float) -> None:
        crashes = self._state.crashes
        quarantines = crashes.quarantines(now)
        suspects = crashes.table.suspect_parts()
        content = CrashRecordContent(
            quarantines.quarantined,
            quarantines.companions,
            crashes.table.evidence.runs(now, MAX_RECORDED_RUNS, suspects),
        )
        key = _key_of(content)
        if self._written == key:
            return
        write = Write(CRASHES_KEY, msgspec.json.encode(content))
        await self._store.write_as_home(self._state.tenure, write)
        self._written = key

    def _is_standalone(self, now: float) -> bool:
        """Check whether no home reports quarantines to this node."""
        state = self._state
        if state.tenure is not None:
            return False
        silence = load_expires_after(report_period(state.quotas.entries))
        return state.home is None or now - state.home_answered_at > silence


def _key_of(content: CrashRecordContent) -> RecordKey:
    """Return what a record says, without the seconds that pass."""
    quarantined = (
        (trait, frozenset(content.companions.get(trait, ())))
        for trait in content.quarantined
    )
    ends = (
        (trait, run.lifetime) for run in content.runs for trait in run.traits
    )
    return frozenset(chain(quarantined, ends))
