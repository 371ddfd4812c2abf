"""Keep in the store which requests are not served any more.

It is written with each quarantine, for a restart of all nodes and for entries
that reach the store and not the home.
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

#: Key of the record.
CRASHES_KEY = 'spanfall/crashes'
#: Seconds between two looks at whether the record is old.
LOOK_PERIOD = 0.25
#: Seconds between two reads of an entry that does not hear the home: with the
#: home's write this stays under the three seconds for which platforms bear
#: that not all know; 570 entries make 285 calls a second.
READ_PERIOD = 2.0


class CrashRecordContent(msgspec.Struct, frozen=True):
    """Hold for how long each request was not to be sent as it was written."""

    quarantined: Quarantined


class CrashRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the tables of the node and the store."""
        self._state = state
        self._store = store
        self._written: frozenset[RequestIdentity] = frozenset()
        self._read_at = float('-inf')

    async def read(self) -> None:
        """Learn what the record holds.

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
        self._state.crashes.learn_quarantined(content.quarantined, now)

    async def run(self) -> None:
        """Write it as the home, read it without one, until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_PERIOD):
                await self._state.crashes.changed.wait()
            now = self._state.timers.now()
            try:
                await self._keep(now)
            except StoreError as exc:
                logger.info('Could not keep the record of crashes: %r', exc)
                await anyio.sleep(LOOK_PERIOD)

    async def _keep(self, now: float) -> None:
        if self._state.is_home(now):
            await self._write_if_old(now)
        elif self._is_alone(now) and now - self._read_at >= READ_PERIOD:
            await self.read()

    async def _write_if_old(self, now: float) -> None:
        quarantined = self._state.crashes.quarantined(now)
        if self._written == quarantined.keys():
            return
        content = msgspec.json.encode(CrashRecordContent(quarantined))
        write = Write(CRASHES_KEY, content)
        await self._store.write_as_home(self._state.tenure, write)
        self._written = frozenset(quarantined)

    def _is_alone(self, now: float) -> bool:
        """Tell whether no home tells this node of quarantines."""
        state = self._state
        if state.tenure is not None:
            return False
        silence = load_expires_after(report_period(state.quotas.entries))
        return state.home is None or now - state.home_heard_at > silence
