"""Hold what the home keeps for each link of an entry."""

import anyio
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.home.origin_links import OriginLinks
from spanfall_node.gateway.home.origin_lookups import OriginLookups
from spanfall_node.gateway.home.peer_links import PeerLinks
from spanfall_node.gateway.home.quarantine_links import QuarantineLinks
from spanfall_node.gateway.home.succession import Succession
from spanfall_node.gateway.home.turns import Turns
from spanfall_node.gateway.links.messages import ReportMessage
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.tables.state import GatewayState


class LinkTables:
    """Hold the tables of links, each for one purpose."""

    def __init__(self, state: GatewayState, reads: FreshReads) -> None:
        """Use the state of the node, and reads of the store for lookups."""
        self.succession = Succession(state)
        self.quarantine = QuarantineLinks(state)
        self.turns = Turns(state)
        self.peers = PeerLinks(state)
        self.origins = OriginLinks(state)
        self.lookups = OriginLookups(state, reads)

    def add(self, link: ServerConnection) -> None:
        """Add the link of an entry."""
        self.succession.add(link)
        self.quarantine.add(link)

    def record(
        self, link: ServerConnection | None, message: ReportMessage
    ) -> None:
        """Record what the report of an entry says of its node."""
        self.succession.set_strength(link, message.strength)
        self.peers.record(link, message)
        self.origins.record(link, message)

    def remove(self, link: ServerConnection) -> None:
        """Remove the closed link of an entry."""
        self.succession.remove(link)
        self.quarantine.remove(link)
        self.turns.remove(link)
        self.peers.remove(link)
        self.origins.remove(link)

    async def run(self) -> None:
        """Send over the links what entries are to know, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.quarantine.run)
            tasks.start_soon(self.turns.run)
            tasks.start_soon(self.origins.run)
            tasks.start_soon(self.lookups.run)
            await self.succession.run()
