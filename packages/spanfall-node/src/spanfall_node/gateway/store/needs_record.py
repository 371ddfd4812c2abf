"""Record in the store how many upstreams the fleet needs, for the next home.

Beside them are the reclaims seen, from which the next home continues to rate
the data centres. Entries receive both with each table, but after all processes were
killed only the store has them. A home that determined them anew mistook the
traffic that the remaining capacity admitted for the whole demand: it released
a third of the upstreams, and they were missing four seconds later.
"""

import logging

import anyio
import msgspec
from spanfall_core.gateway.orders.reclaims import SeenReclaims

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
NEEDS_KEY = 'spanfall/needs'
#: Seconds between two checks whether the record is outdated. Under changing
#: load this results in about one call every five seconds.
POLL_SECONDS = 1.0
#: Minimum differences between a need and the record at which the record is
#: rewritten: as a fraction of the need and in upstreams.
CHANGED_FRACTION = 0.15
MIN_CHANGE = 0.5
#: Factor by which the time observed must have grown if no reclaim was seen.
LONG_FACTOR = 2


class NeedsContent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the number of needed upstreams and the reclaims by service."""

    needs: dict[str, float]
    #: Absent where none was seen, and in records of earlier versions.
    reclaims: dict[str, SeenReclaims] = {}


class NeedsRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        self._written = NeedsContent({})

    async def read(self) -> NeedsContent:
        """Return the needs and the reclaims that a new home starts with.

        Needs received from the previous home are newer than its record.

        Raises:
            StoreError: the read failed.
        """
        if self._state.needs:
            self._written = NeedsContent({})
            return NeedsContent(self._state.needs, self._state.reclaims)
        item = await self._store.get(NEEDS_KEY)
        if item is None:
            return NeedsContent({})
        content = decode_record(item, NeedsContent)
        if content is None:
            return NeedsContent({})
        self._written = content
        return NeedsContent(dict(content.needs), dict(content.reclaims))

    async def run(self) -> None:
        """Rewrite the record whenever it is outdated, until cancelled."""
        while True:
            await anyio.sleep(POLL_SECONDS)
            now = self._state.timers.now()
            if self._state.is_home(now) and self._is_outdated():
                await self._write()

    def _is_outdated(self) -> bool:
        if _are_outdated(self._written.reclaims, self._state.reclaims):
            return True
        written = self._written.needs
        return any(
            abs(need - written.get(service, 0))
            > max(MIN_CHANGE, CHANGED_FRACTION * need)
            for service, need in self._state.needs.items()
        )

    async def _write(self) -> None:
        content = NeedsContent(
            dict(self._state.needs), dict(self._state.reclaims)
        )
        write = Write(NEEDS_KEY, msgspec.json.encode(content))
        try:
            await self._store.write_as_home(self._state.tenure, write)
        except StoreError as exc:
            logger.info(
                'Could not write the record of needed upstreams: %r', exc
            )
        else:
            self._written = content


def _are_outdated(
    written: dict[str, SeenReclaims], present: dict[str, SeenReclaims]
) -> bool:
    """Return whether there are new reclaims, or none for a long time."""
    return any(
        service not in written
        or seen.counts != written[service].counts
        or seen.seconds > LONG_FACTOR * written[service].seconds
        for service, seen in present.items()
    )
