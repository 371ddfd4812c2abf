"""Spread accepted changes of configuration between nodes.

The node that accepts a change sends it to the delegates of all data centres;
delegates also watch the store, and hand changes down to
the nodes that send them heartbeats. A node with a gap asks for what it
misses.
"""

import logging
from collections.abc import Callable, Iterable, Sequence

from spanfall_api.changes import (
    dump_change,
    dump_snapshot,
    load_change,
    load_snapshot,
)
from spanfall_api.frames import (
    ConfigChange,
    ConfigPull,
    ConfigSnapshot,
    Frame,
)
from spanfall_core.configuration import Change

from spanfall_node.config_store import ConfigStore
from spanfall_node.context import Context
from spanfall_node.link import Link
from spanfall_node.members import Members

logger = logging.getLogger(__name__)

#: Nodes that a node sends a change to; each hands it on to others. It keeps
#: a delegate's bytes within the budget of a node (docs/CAPACITY.md).
FAN_OUT = 8
#: Changes kept for nodes that are a little behind.
RECENT_CHANGES = 256


class ConfigSpread:
    """Hand changes on; ``followers`` are the nodes that we are delegate of."""

    def __init__(
        self,
        context: Context,
        members: Members,
        config: ConfigStore,
    ) -> None:
        """Prepare; ``start`` begins to take and send changes."""
        self.followers: dict[str, Link] = {}
        self.joined: list[Callable[[Link], None]] = []
        self.fan_out = FAN_OUT
        self._context = context
        self._members = members
        self._config = config
        self._recent: dict[int, bytes] = {}

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self._config.state.revision

    def start(self) -> None:
        """Subscribe to frames and to changes accepted here."""
        links = self._context.links
        links.subscribe(ConfigChange, self._take_change)
        links.subscribe(ConfigPull, self._take_pull)
        links.subscribe(ConfigSnapshot, self._take_snapshot)
        self._config.accepted.append(self._push_accepted)

    def add_follower(self, node_id: str, link: Link) -> None:
        """Take a node that sends us its heartbeats."""
        if self.followers.get(node_id) is link:
            return
        self.followers[node_id] = link
        for listener in self.joined:
            listener(link)

    def note_contact(self) -> None:
        """Note that the store or a peer was heard."""
        self._config.note_contact()

    def bring_up_to_date(self, link: Link, revision: int) -> None:
        """Send a peer what it misses, and ask it for what we miss."""
        self._send_changes(link, revision)
        if revision > self.revision:
            link.send(ConfigPull(after=self.revision))

    def take_document(self, document: bytes, link: Link | None) -> None:
        """Apply a change as stored, and hand it on if it is news."""
        change = load_change(document)
        fresh = change.revision > self.revision
        self._config.note_contact()
        if self._config.take_change(change):
            # Changes apply without gaps, so what is here is whole.
            self._config.loaded = True
        elif link is not None:
            link.send(ConfigPull(after=self.revision))
        if fresh:
            self._remember(change.revision, document)
            frame = ConfigChange(revision=change.revision, document=document)
            self._push_down(frame)
            self._push_up(frame, link)

    def _send_changes(self, link: Link, after: int) -> None:
        missing = range(after + 1, self.revision + 1)
        if not missing:
            return
        if any(revision not in self._recent for revision in missing):
            link.send(
                ConfigSnapshot(
                    revision=self.revision,
                    document=dump_snapshot(self._config.state),
                ),
            )
            return
        for revision in missing:
            document = self._recent[revision]
            link.send(ConfigChange(revision=revision, document=document))

    def _remember(self, revision: int, document: bytes) -> None:
        self._recent[revision] = document
        while len(self._recent) > RECENT_CHANGES:
            self._recent.pop(next(iter(self._recent)))

    def _push_down(self, frame: ConfigChange) -> None:
        if self._members.acting:
            self._fan_out(frame, sorted(self.followers))

    def _fan_out(self, frame: ConfigChange, nodes: Sequence[str]) -> None:
        """Send a change to some nodes, which hand it on to the others.

        A node that is missed learns of the change by its next heartbeat.
        """
        for start in range(min(self.fan_out, len(nodes))):
            first, *others = nodes[start :: self.fan_out]
            link = self.followers.get(first)
            if link is None:
                link = self._context.links.open(first)
            link.send(frame.model_copy(update={'hand_on': tuple(others)}))

    def _push_up(self, frame: ConfigChange, source: Link | None) -> None:
        """Hand a change that came from elsewhere to the own delegate."""
        delegate = self._members.delegate
        came_from = '' if source is None else source.peer_id
        if self._members.acting or not delegate or came_from == delegate:
            return
        self._context.links.open(delegate).send(frame)

    def _push_accepted(self, change: Change) -> None:
        document = dump_change(change)
        self._remember(change.revision, document)
        frame = ConfigChange(revision=change.revision, document=document)
        self._push_down(frame)
        for node_id in self._push_targets():
            self._context.links.open(node_id).send(frame)

    def _push_targets(self) -> Iterable[str]:
        """Return the delegates of all data centres."""
        targets = self._members.other_delegates()
        if self._members.delegate:
            targets.add(self._members.delegate)
        targets.discard(self._context.node_id)
        return targets

    def _take_change(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, ConfigChange):
            self._fan_out(frame, frame.hand_on)
            self.take_document(frame.document, link)

    def _take_pull(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, ConfigPull):
            self._send_changes(link, frame.after)

    def _take_snapshot(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, ConfigSnapshot):
            return
        self._config.note_contact()
        self._config.take_state(load_snapshot(frame.document))
        self._config.loaded = True
