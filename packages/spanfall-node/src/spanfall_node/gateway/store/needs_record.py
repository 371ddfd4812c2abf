"""Record in the store how many upstreams the fleet needs, for the next home.

Entries receive the numbers with each table, but after all processes were
killed only the store has them. A home that determined them anew mistook the
traffic that the remaining capacity admitted for the whole demand: it released
a third of the upstreams, and they were missing four seconds later.
"""

import logging

import anyio
import msgspec

from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Key of the record in the store.
NEEDS_KEY = 'spanfall/needs'
#: Seconds between two checks whether the record is outdated. Under changing
#: load this results in about one call every five seconds.
POLL_SECONDS = 1.0
#: Minimum differences between a need and the record at which the record is
#: rewritten: as a fraction of the need and in upstreams.
CHANGED_FRACTION = 0.15
MIN_CHANGE = 0.5


class NeedsContent(msgspec.Struct, frozen=True):
    """Hold the number of needed upstreams by service."""

    needs: dict[str, float]


class NeedsRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        self._written: dict[str, float] = {}

    async def read(self) -> dict[str, float]:
        """Return the needs that a new home starts with.

        Needs received from the previous home are newer than its record.

        Raises:
            StoreError: the read failed.
        """
        if self._state.needs:
            self._written = {}
            return self._state.needs
        item = await self._store.get(NEEDS_KEY)
        if item is None:
            return {}
        content = decode_record(item, NeedsContent)
        if content is None:
            return {}
        self._written = content.needs
        return dict(content.needs)

    async def run(self) -> None:
        """Rewrite the record whenever it is outdated, until cancelled."""
        while True:
            await anyio.sleep(POLL_SECONDS)
            now = self._state.timers.now()
            if self._state.is_home(now) and self._is_outdated():
                await self._write()

    def _is_outdated(self) -> bool:
        needs = self._state.needs
        return any(
            abs(need - self._written.get(service, 0))
            > max(MIN_CHANGE, CHANGED_FRACTION * need)
            for service, need in needs.items()
        )

    async def _write(self) -> None:
        needs = dict(self._state.needs)
        write = Write(NEEDS_KEY, msgspec.json.encode(NeedsContent(needs)))
        try:
            await self._store.write_as_home(self._state.tenure, write)
        except StoreError as exc:
            logger.info(
                'Could not write the record of needed upstreams: %r', exc
            )
        else:
            self._written = needs
