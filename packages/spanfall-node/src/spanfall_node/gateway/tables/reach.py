"""Hold what a node knows of paths to upstreams, its own and its peers'."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.peers import Peer, PeerTable
from spanfall_core.gateway.known.reachability import Reachability


@dataclass(slots=True)
class Reach:
    """Hold the paths of one node to upstreams."""

    own: Reachability = field(default_factory=Reachability)
    #: Peers that connect to upstreams for this node, the best first, and the
    #: version of the home's table that named them.
    peers: tuple[Peer, ...] = ()
    peers_version: int = 0
    #: On the home: the entries of the fleet.
    table: PeerTable = field(default_factory=PeerTable)
