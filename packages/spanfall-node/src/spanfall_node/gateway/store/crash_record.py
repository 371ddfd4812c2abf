"""Record the quarantined requests in the store.

The record is written on each quarantine. It serves a restart of all nodes and
entries that reach the store but not the home.
"""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)

from spanfall_node.gateway.links.crash_messages import Quarantined
from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
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


class CrashRecordContent(msgspec.Struct, frozen=True):
    """Hold the remaining quarantine of each request at the time of writing."""

    quarantined: Quarantined


class CrashRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        self._written: frozenset[RequestIdentity] = frozenset()
        self._read_at = float('-inf')

    async def read(self) -> None:
        """Read the record and merge its quarantined requests.

        Raises:
            StoreError: the record cannot be read.
        """
        self._read_at = self._state.timers.now()
        item = await self._store.get(CRASHES_KEY)
        if item is None:
            self._written = frozenset()
            return
        content = decode_record(item, CrashRecordContent)
        if content is None:
            return
        self._written = frozenset(content.quarantined)
        now = self._state.timers.now()
        self._state.crashes.merge_quarantined(content.quarantined, now)

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
        quarantined = self._state.crashes.quarantined(now)
        if self._written == quarantined.keys():
            return
        content = msgspec.json.encode(CrashRecordContent(quarantined))
        write = Write(CRASHES_KEY, content)
        await self._store.write_as_home(self._state.tenure, write)
        self._written = frozenset(quarantined)

    def _is_standalone(self, now: float) -> bool:
        """Check whether no home reports quarantines to this node."""
        state = self._state
        if state.tenure is not None:
            return False
        silence = load_expires_after(report_period(state.quotas.entries))
        return state.home is None or now - state.home_answered_at > silence
