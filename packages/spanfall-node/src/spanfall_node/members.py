"""Keep the member list current: heartbeats, delegates, and their records.

Each data centre has a delegate: the node that holds its lease in the store,
or, while the store is away, the node that the others choose by rendezvous
hashing. A delegate hears the heartbeats of its data centre, changes its
record, and hands records and configuration changes on to its nodes.
"""

import logging
from collections.abc import Callable, Iterable

import anyio
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
    Heartbeat,
    MemberEntry,
    MemberList,
)
from spanfall_core.configuration import Change
from spanfall_core.membership import (
    Member,
    MemberTable,
    all_members,
    expire,
    find_member,
    hear,
    list_places,
    merge_record,
)
from spanfall_core.placement import choose_homes

from spanfall_node.config_store import ConfigStore
from spanfall_node.context import Context
from spanfall_node.links import Link

logger = logging.getLogger(__name__)

#: Changes kept at a delegate for nodes that are a little behind.
RECENT_CHANGES = 256

Listener = Callable[[], None]


def to_entry(member: Member) -> MemberEntry:
    """Return the message form of a member."""
    return MemberEntry(
        node_id=member.node_id,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        address=member.address,
        draining=member.draining,
    )


def from_entry(entry: MemberEntry) -> Member:
    """Return the member that a message describes."""
    return Member(
        entry.node_id,
        entry.incarnation,
        entry.data_centre,
        entry.address,
        entry.draining,
    )


class Members:
    """Hold the member list of this node and take part in keeping it."""

    def __init__(self, context: Context, config: ConfigStore) -> None:
        """Start with the seeds of the settings as addresses only."""
        self.table = MemberTable()
        self.changed: list[Listener] = []
        self.acting = False
        self.delegate = ''
        self.suspects: dict[str, float] = {}
        self.address = ''
        self._context = context
        self._config = config
        self._followers: dict[str, Link] = {}
        self._follower_revisions: dict[str, int] = {}
        self._sent: dict[str, tuple[int, int]] = {}
        self._recent: dict[int, bytes] = {}
        self._started_at = context.timers.now()
        self._known_addresses = {
            seed.node_id: seed.address for seed in context.cfg.seeds
        }
        self._seeds = {seed.node_id: seed for seed in context.cfg.seeds}

    def start(self, address: str) -> None:
        """Begin to send heartbeats, under the address of our peer port."""
        self.address = address
        context = self._context
        links = context.links
        links.address_of = self.find_address
        links.subscribe(Heartbeat, self._take_heartbeat)
        links.subscribe(MemberList, self._take_list)
        links.subscribe(ConfigChange, self._take_change)
        links.subscribe(ConfigPull, self._take_pull)
        links.subscribe(ConfigSnapshot, self._take_snapshot)
        links.on_lost(self._lose_link)
        context.timers.every(context.cfg.times.heartbeat, self.beat)
        self._config.accepted.append(self._push_accepted)

    def own_member(self) -> Member:
        """Describe this node."""
        context = self._context
        return Member(
            context.node_id,
            context.incarnation,
            context.cfg.data_centre,
            self.address,
            context.draining,
        )

    def find_address(self, node_id: str) -> str | None:
        """Return the address of a node, from the list or the seeds."""
        member = find_member(self.table, node_id)
        if member is not None:
            return member.address
        return self._known_addresses.get(node_id)

    def homes_of(self, service: str) -> tuple[str, ...]:
        """Return the homes of a service, acting home first.

        Nodes that could not be reached lately are left out.
        """
        self._forget_suspects()
        known = self.table.homes.get(service)
        if known is None:
            places = [
                place
                for place in list_places(self.table)
                if place.node_id not in self.suspects
            ]
            known = choose_homes(service, places)
            self.table.homes[service] = known
        return known

    def suspect(self, node_id: str) -> None:
        """Leave a node out of homes for as long as a member times out."""
        if node_id == self._context.node_id:
            return
        now = self._context.timers.now()
        self.suspects[node_id] = now + self._context.cfg.times.member_timeout
        self.table.homes.clear()

    def beat(self, now: float) -> None:
        """Send a heartbeat to the delegate, or act as the delegate."""
        own = self.own_member()
        if self.acting:
            changed = hear(self.table, own, now)
            timeout = self._context.cfg.times.member_timeout
            gone = expire(self.table, own.data_centre, now - timeout)
            if gone:
                logger.warning('No heartbeat any more from %s', ', '.join(gone))
            if gone or changed:
                self.tell_changed()
            self._update_followers()
            return
        if not self.delegate:
            self.delegate = self.fallback_delegate()
        if self.delegate == self._context.node_id:
            self.assume()
            return
        link = self._context.links.open(self.delegate)
        link.send(
            Heartbeat(
                node_id=own.node_id,
                incarnation=own.incarnation,
                data_centre=own.data_centre,
                address=own.address,
                draining=own.draining,
                revision=self._config.state.revision,
                members=self._versions(),
            ),
        )

    def fallback_delegate(self) -> str:
        """Choose a delegate without the store, as all nodes here would."""
        data_centre = self._context.cfg.data_centre
        known = {
            place.node_id: place.data_centre
            for place in list_places(self.table)
        }
        seeds = {row.node_id: row.data_centre for row in self._seeds.values()}
        nodes = [
            node_id
            for node_id, place in {**seeds, **known}.items()
            if place == data_centre and node_id not in self.suspects
        ]
        nodes.append(self._context.node_id)
        return min(nodes)

    def assume(self) -> None:
        """Act as the delegate of this data centre."""
        if self.acting:
            return
        self.acting = True
        now = self._context.timers.now()
        own = self._context.cfg.data_centre
        record = self.table.records.get(own)
        members = [] if record is None else list(record.members)
        self.table.heard = dict.fromkeys(members, now)
        hear(self.table, self.own_member(), now)
        logger.info('Acting as the delegate of data centre %s', own)
        self.tell_changed()

    def resign(self, holder: MemberEntry) -> None:
        """Follow another delegate, by its entry in the store."""
        if self.acting:
            logger.info('Delegate %s takes over here', holder.node_id)
        self.acting = False
        self.delegate = holder.node_id
        self._known_addresses[holder.node_id] = holder.address

    def tell_changed(self) -> None:
        """Tell listeners of a changed list, and hand it on as delegate."""
        self._context.metrics.members.set(len(all_members(self.table)))
        for listener in self.changed:
            listener()
        if self.acting:
            self._update_followers()
            self._push_to_delegates()

    def own_record(self) -> MemberList:
        """Return the record of this data centre as a message."""
        return self.record_of(self._context.cfg.data_centre)

    def record_of(self, data_centre: str) -> MemberList:
        """Return the record of a data centre as a message."""
        record = self.table.records[data_centre]
        return MemberList(
            data_centre=data_centre,
            version=record.version,
            members=tuple(map(to_entry, record.members.values())),
        )

    def take_record(self, frame: MemberList) -> None:
        """Take a record of another delegate, if it is newer."""
        own = self._context.cfg.data_centre
        if self.acting and frame.data_centre == own:
            self._outbid(frame)
            return
        members = map(from_entry, frame.members)
        if merge_record(
            self.table,
            frame.data_centre,
            frame.version,
            members,
        ):
            self.tell_changed()

    def _outbid(self, frame: MemberList) -> None:
        record = self.table.records[frame.data_centre]
        if frame.version >= record.version:
            record.version = frame.version + 1

    def _versions(self) -> tuple[tuple[str, int], ...]:
        return tuple(
            (name, record.version)
            for name, record in self.table.records.items()
        )

    def _take_heartbeat(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Heartbeat):
            return
        if not self.acting:
            if frame.data_centre != self._context.cfg.data_centre:
                return
            self.assume()
        self._followers[frame.node_id] = link
        self._follower_revisions[frame.node_id] = frame.revision
        self._sent[frame.node_id] = (-1, 0)
        member = Member(
            frame.node_id,
            frame.incarnation,
            frame.data_centre,
            frame.address,
            frame.draining,
        )
        if hear(self.table, member, self._context.timers.now()):
            self.tell_changed()
        self._bring_up_to_date(link, frame)

    def _bring_up_to_date(self, link: Link, frame: Heartbeat) -> None:
        versions = dict(frame.members)
        for name, record in self.table.records.items():
            if versions.get(name, 0) < record.version:
                link.send(self.record_of(name))
        self._send_changes(link, frame.revision)
        if frame.revision > self._config.state.revision:
            link.send(ConfigPull(after=self._config.state.revision))

    def _send_changes(self, link: Link, after: int) -> None:
        current = self._config.state.revision
        if after >= current:
            return
        missing = range(after + 1, current + 1)
        if all(revision in self._recent for revision in missing):
            for revision in missing:
                document = self._recent[revision]
                link.send(ConfigChange(revision=revision, document=document))
            return
        link.send(self._snapshot_frame())

    def _snapshot_frame(self) -> ConfigSnapshot:
        state = self._config.state
        return ConfigSnapshot(
            revision=state.revision,
            document=dump_snapshot(state),
        )

    def _update_followers(self) -> None:
        revision = self.table.revision
        for node_id, link in self._followers.items():
            if self._sent.get(node_id) == (revision, link.incarnation):
                continue
            self._sent[node_id] = (revision, link.incarnation)
            for name in self.table.records:
                link.send(self.record_of(name))

    def _push_to_delegates(self) -> None:
        frame = self.own_record()
        for link in self._context.links.peers():
            if link.peer_id not in self._followers:
                link.send(frame)

    def _take_list(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, MemberList):
            self._config.note_contact()
            self.take_record(frame)

    def _take_change(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, ConfigChange):
            self.take_document(frame.document, link)

    def take_document(self, document: bytes, link: Link | None) -> None:
        """Apply a change as stored, and hand it on as delegate."""
        change = load_change(document)
        fresh = change.revision > self._config.state.revision
        self._config.note_contact()
        if not self._config.take_change(change) and link is not None:
            link.send(ConfigPull(after=self._config.state.revision))
        if fresh:
            self._remember(change.revision, document)
            self._push_down(change.revision, document)
            self._push_up(change.revision, document, link)

    def _remember(self, revision: int, document: bytes) -> None:
        self._recent[revision] = document
        while len(self._recent) > RECENT_CHANGES:
            self._recent.pop(next(iter(self._recent)))

    def _push_down(self, revision: int, document: bytes) -> None:
        if not self.acting:
            return
        frame = ConfigChange(revision=revision, document=document)
        for link in self._followers.values():
            link.send(frame)

    def _push_up(
        self,
        revision: int,
        document: bytes,
        source: Link | None,
    ) -> None:
        """Hand a change that came from elsewhere to the own delegate."""
        came_from = '' if source is None else source.peer_id
        if self.acting or not self.delegate or came_from == self.delegate:
            return
        frame = ConfigChange(revision=revision, document=document)
        self._context.links.open(self.delegate).send(frame)

    def _push_accepted(self, change: Change) -> None:
        document = dump_change(change)
        self._remember(change.revision, document)
        self._push_down(change.revision, document)
        frame = ConfigChange(revision=change.revision, document=document)
        for node_id in self._push_targets():
            self._context.links.open(node_id).send(frame)

    def _push_targets(self) -> Iterable[str]:
        """Return one node of each data centre, and the own delegate."""
        targets = {self.delegate} if self.delegate else set()
        targets.update(
            min(record.members)
            for record in self.table.records.values()
            if record.members
        )
        targets.discard(self._context.node_id)
        return targets

    def _take_pull(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, ConfigPull):
            self._send_changes(link, frame.after)

    def _take_snapshot(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, ConfigSnapshot):
            return
        self._config.note_contact()
        self._config.take_state(load_snapshot(frame.document))
        self._config.loaded = True

    def _lose_link(self, link: Link) -> None:
        if self._followers.get(link.peer_id) is link:
            self._followers.pop(link.peer_id)
        if link.peer_id == self.delegate and not self.acting:
            self.suspect(link.peer_id)
            self.delegate = ''

    def _forget_suspects(self) -> None:
        now = self._context.timers.now()
        over = [
            node_id for node_id, until in self.suspects.items() if until <= now
        ]
        for node_id in over:
            self.suspects.pop(node_id)
        if over:
            self.table.homes.clear()


async def wait_for_members(members: Members, seconds: float) -> bool:
    """Wait until this node knows itself as a member."""
    with anyio.move_on_after(seconds):
        while find_member(members.table, members.own_member().node_id) is None:
            await anyio.sleep(0.01)
        return True
    return False
