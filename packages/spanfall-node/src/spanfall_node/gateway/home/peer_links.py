"""Tell entries through which peers they may reach upstreams, as the home."""

from spanfall_core.gateway.known.peers import Peer
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.messages import ReportMessage
from spanfall_node.gateway.links.peer_messages import PeersPart
from spanfall_node.gateway.tables.state import GatewayState


class PeerLinks:
    """Record which entries serve peers, by their links."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        self._entries: dict[ServerConnection | None, tuple[str, Peer]] = {}

    def record(
        self, link: ServerConnection | None, message: ReportMessage
    ) -> None:
        """Record what the report of an entry says of its tunnels."""
        table = self._state.reach.table
        entry = message.report.key
        if message.peer is not None:
            self._entries[link] = (entry, message.peer)
            table.record(entry, message.peer)
        table.record_cut(entry, is_cut=message.refuses_tunnels)

    def remove(self, link: ServerConnection) -> None:
        """Forget the entry whose last link has ended."""
        entry, _ = self._entries.pop(link, (None, None))
        linked = {other for other, _ in self._entries.values()}
        if entry is not None and entry not in linked:
            self._state.reach.table.remove(entry)

    def part(
        self, link: ServerConnection | None, message: ReportMessage
    ) -> PeersPart | None:
        """Return the peers of an entry unless it has the current ones."""
        table = self._state.reach.table
        known = self._entries.get(link)
        if known is None or message.peers_version == table.version:
            return None
        return PeersPart(table.version, table.chosen_for(*known))


def own_peer(state: GatewayState) -> Peer | None:
    """Return where this node serves tunnels, if it does."""
    address = state.cfg.listen.tunnels
    return Peer(address, state.cfg.data_centre) if address else None


def refuses_tunnels(state: GatewayState) -> bool:
    """Return whether this node connects to no upstream for peers now."""
    return state.draining_since is not None or state.reach.own.is_cut


def follow_own_peers(state: GatewayState) -> None:
    """Record this node as a peer and choose its own peers, as the home."""
    peer = own_peer(state)
    reach = state.reach
    if peer is not None:
        reach.table.record(state.entry_key, peer)
    reach.table.record_cut(state.entry_key, is_cut=refuses_tunnels(state))
    if reach.peers_version != reach.table.version:
        reach.peers_version = reach.table.version
        reach.peers = reach.table.chosen_for(
            state.entry_key, state.cfg.data_centre
        )
