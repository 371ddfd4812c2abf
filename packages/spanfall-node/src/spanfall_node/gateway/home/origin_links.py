"""Keep copies of what the home knows of streams' origins at entries.

In a small fleet each entry keeps a copy, in a large one a few, so that a stream
can be resumed while the home and the entry that sent it have just ended.
"""

from heapq import nlargest

import anyio
from spanfall_core.gateway.known.stream_origins import group_records
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.links.messages import ReportMessage
from spanfall_node.gateway.links.origin_messages import OriginsMessage
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.stream_lookup import known_origins

#: Seconds for which records are collected before they are copied.
COPY_PERIOD = 0.05
#: Entries up to which all keep copies: at 17.5 streams a second each, a copy
#: of all then stays below 3 KB a second.
MAX_ENTRIES_WITH_COPIES = 12
#: Entries that keep copies in a larger fleet.
KEEPERS = 3


class OriginLinks:
    """Hold the links of entries, and which of them keep copies."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        #: Strength of the host, and the address for links, of each entry.
        self._links: dict[ServerConnection, tuple[float, str]] = {}
        self._keepers: set[ServerConnection] = set()
        #: What each entry was told last of where copies are.
        self._told: dict[ServerConnection, tuple[str, ...]] = {}

    def record(
        self, link: ServerConnection | None, message: ReportMessage
    ) -> None:
        """Record what the report of an entry says of its node."""
        if link is None:
            return
        _, address = self._links.get(link, (0, ''))
        address = message.links_address or address
        self._links[link] = (message.strength, address)
        if len(self._keepers & self._links.keys()) < self._wanted():
            self._state.streams.has_uncopied.set()

    def remove(self, link: ServerConnection) -> None:
        """Forget the closed link of an entry."""
        self._links.pop(link, None)
        self._told.pop(link, None)
        self._keepers.discard(link)

    def part(self, link: ServerConnection | None) -> tuple[str, ...] | None:
        """Return some nodes that keep copies, unless the entry knows them."""
        known = self._state.streams.keepers
        if link is None or self._told.get(link) == known:
            return None
        self._told[link] = known
        return known

    async def run(self) -> None:
        """Copy new records to entries, until cancelled."""
        streams = self._state.streams
        while True:
            await streams.has_uncopied.wait()
            await anyio.sleep(COPY_PERIOD)
            records = streams.take_uncopied()
            if self._state.tenure is None:
                self._keepers.clear()
                self._told.clear()
                continue
            added = self._choose_keepers()
            if added:
                await send_to_all(added, known_origins(self._state))
            if records:
                now = self._state.timers.now()
                message = OriginsMessage(group_records(records, now))
                await send_to_all(self._keepers - added, message)

    def _choose_keepers(self) -> set[ServerConnection]:
        """Choose entries to keep copies; return those that are new."""
        self._keepers &= self._links.keys()
        if len(self._keepers) > self._wanted():
            self._keepers = set(
                nlargest(KEEPERS, self._keepers, key=self._links.__getitem__)
            )
        missing = self._wanted() - len(self._keepers)
        others = self._links.keys() - self._keepers
        added = set(nlargest(missing, others, key=self._links.__getitem__))
        self._keepers |= added
        strongest = nlargest(
            KEEPERS, self._keepers, key=self._links.__getitem__
        )
        self._state.streams.keepers = tuple(
            sorted(self._links[link][1] for link in strongest)
        )
        return added

    def _wanted(self) -> int:
        entries = len(self._links)
        return entries if entries <= MAX_ENTRIES_WITH_COPIES else KEEPERS
