"""Choose the peers through which an entry may reach upstreams.

The home knows all entries and tells each a few of those that reach upstreams:
first of its own data centre, then of others, so that the loss of a data
centre's paths leaves some. Entries stand on a ring, so that the load of cut ones
is spread.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain, islice

#: Peers of an entry's own data centre, and peers in all.
MAX_NEAR_PEERS = 2
MAX_PEERS = 4


@dataclass(frozen=True, slots=True)
class Peer:
    """Name an entry that connects to upstreams for others."""

    address: str
    data_centre: str


@dataclass(slots=True)
class PeerTable:
    """Hold the entries of the fleet, as the home."""

    #: Increases with each change of what entries may be told.
    version: int = 1
    _peers: dict[str, Peer] = field(default_factory=dict)
    _cut: set[str] = field(default_factory=set)
    _near: dict[str, list[str]] = field(default_factory=dict)
    _all: list[str] = field(default_factory=list)

    def record(self, entry: str, peer: Peer) -> None:
        """Record the address of an entry that serves peers."""
        if self._peers.get(entry) != peer:
            self._peers[entry] = peer
            self._index()

    def record_cut(self, entry: str, *, is_cut: bool) -> None:
        """Record whether an entry reaches no upstream, or takes no peers."""
        if is_cut != (entry in self._cut) and entry in self._peers:
            self._cut ^= {entry}
            self._index()

    def remove(self, entry: str) -> None:
        """Forget an entry."""
        self._cut.discard(entry)
        if self._peers.pop(entry, None) is not None:
            self._index()

    def chosen_for(self, entry: str, data_centre: str) -> tuple[Peer, ...]:
        """Return the peers of an entry, the best first."""
        near = islice(
            _after(self._near.get(data_centre, ()), entry), MAX_NEAR_PEERS
        )
        keys = dict.fromkeys(chain(near, _after(self._all, entry)))
        keys.pop(entry, None)
        return tuple(self._peers[key] for key in islice(keys, MAX_PEERS))

    def _index(self) -> None:
        self.version += 1
        near: defaultdict[str, list[str]] = defaultdict(list)
        self._all = sorted(self._peers.keys() - self._cut)
        for entry in self._all:
            near[self._peers[entry].data_centre].append(entry)
        self._near = dict(near)


def _after(ring: list[str] | tuple[()], entry: str) -> Iterable[str]:
    """Yield a few members of a ring, from the one after an entry."""
    start = bisect_right(ring, entry)
    size = min(len(ring), MAX_PEERS + 1)
    return (ring[(start + step) % len(ring)] for step in range(size))
