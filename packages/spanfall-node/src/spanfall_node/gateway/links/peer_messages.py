"""Define the part of a table that names peers."""

import msgspec
from spanfall_core.gateway.known.peers import Peer


class PeersPart(msgspec.Struct, frozen=True):
    """Carry the peers that connect to upstreams for one entry."""

    version: int
    peers: tuple[Peer, ...]
