"""Send heartbeats to the delegate, or hear them and spread the record.

Each data centre has a delegate: the node that holds its lease in the store,
or, while the store is away, the node that the others choose. A heartbeat
names what its sender has, and the delegate answers with what is newer.
"""

import logging
from dataclasses import replace

from spanfall_api.frames import Frame, Heartbeat, MemberDelta, MemberList
from spanfall_core.membership import Record, expire_members, record_heartbeat

from spanfall_node.config_spread import ConfigSpread
from spanfall_node.context import Context
from spanfall_node.link import Link
from spanfall_node.members import Members, delta_of, member_of

logger = logging.getLogger(__name__)

#: Delegates compare what they have every so many heartbeats; changes are
#: pushed at once, so this only mends what a push missed.
BEATS_ABROAD = 5


class Heartbeats:
    """Take part in keeping the member list."""

    def __init__(
        self,
        context: Context,
        members: Members,
        spread: ConfigSpread,
    ) -> None:
        """Prepare; ``start`` begins to send and to hear."""
        self._context = context
        self._members = members
        self._spread = spread
        self._sent: dict[str, Record] = {}
        self._beats = 0

    def start(self) -> None:
        """Subscribe to frames and to the heartbeat period."""
        links = self._context.links
        links.subscribe(Heartbeat, self._take_heartbeat)
        links.subscribe(MemberList, self._take_list)
        links.subscribe(MemberDelta, self._take_delta)
        links.on_lost(self._lose_link)
        period = self._context.cfg.times.heartbeat
        self._context.timers.every(period, self.beat)
        self._members.changed.append(self._hand_on)

    def beat(self, now: float) -> None:
        """Send a heartbeat to the delegate, or act as the delegate."""
        members = self._members
        if members.acting:
            self._beat_as_delegate(now)
            return
        if not members.delegate:
            members.delegate = members.fallback_delegate()
        if members.delegate == self._context.node_id:
            self.assume()
            return
        link = self._context.links.open(members.delegate)
        link.send(self._own_heartbeat())
        if link.ready.is_set():
            # Pings close a link whose other end does not answer.
            self._spread.note_contact()

    def assume(self) -> None:
        """Act as the delegate of this data centre."""
        members = self._members
        if members.acting:
            return
        members.acting = True
        now = self._context.timers.now()
        record = members.table.records.get(members.data_centre)
        known = [] if record is None else list(record.members)
        members.table.last_heartbeats = dict.fromkeys(known, now)
        record_heartbeat(members.table, members.own_member(), now)
        members.table.records[
            members.data_centre
        ].delegate = self._context.node_id
        logger.info('Acting as delegate of %s', members.data_centre)
        members.tell_changed()

    def _beat_as_delegate(self, now: float) -> None:
        members = self._members
        changed = record_heartbeat(members.table, members.own_member(), now)
        timeout = self._context.cfg.times.member_timeout
        gone = expire_members(members.table, members.data_centre, now - timeout)
        if gone:
            logger.warning('No heartbeat any more from %s', ', '.join(gone))
        if gone or changed:
            members.tell_changed()
        if self._spread.followers:
            self._spread.note_contact()
        self._beats += 1
        if self._beats % BEATS_ABROAD == 0:
            self._beat_abroad()

    def _beat_abroad(self) -> None:
        """Compare records and configuration with the other delegates."""
        beat = self._own_heartbeat()
        for node_id in self._members.other_delegates():
            self._context.links.open(node_id).send(beat)

    def _own_heartbeat(self) -> Heartbeat:
        own = self._members.own_member()
        return Heartbeat(
            node_id=own.node_id,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            address=own.address,
            draining=own.draining,
            revision=self._spread.revision,
            members=tuple(
                (name, record.version)
                for name, record in self._members.table.records.items()
            ),
        )

    def _take_heartbeat(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Heartbeat):
            return
        if frame.data_centre != self._members.data_centre:
            self._bring_up_to_date(link, frame)
            if self._is_behind(frame):
                link.send(self._own_heartbeat())
            return
        self.assume()
        self._spread.add_follower(frame.node_id, link)
        member = member_of(frame)
        now = self._context.timers.now()
        if record_heartbeat(self._members.table, member, now):
            self._members.tell_changed()
        self._bring_up_to_date(link, frame)

    def _is_behind(self, frame: Heartbeat) -> bool:
        """Tell whether a foreign sender has a newer record than we."""
        records = self._members.table.records
        return any(
            name not in records or records[name].version < version
            for name, version in frame.members
            if name != self._members.data_centre
        )

    def _bring_up_to_date(self, link: Link, frame: Heartbeat) -> None:
        versions = dict(frame.members)
        for name, record in self._members.table.records.items():
            if versions.get(name, 0) < record.version:
                link.send(self._members.record_of(name))
        self._spread.bring_up_to_date(link, frame.revision)

    def _hand_on(self) -> None:
        """Send changed records to followers, and our own to delegates."""
        if not self._members.acting:
            return
        for name, record in self._members.table.records.items():
            sent = self._sent.get(name)
            if sent is not None and sent.version == record.version:
                continue
            self._sent[name] = replace(record, members=dict(record.members))
            frame = delta_of(name, sent or Record(), record)
            for link in self._spread.followers.values():
                link.send(frame)
            if name == self._members.data_centre:
                self._send_abroad(frame)

    def _send_abroad(self, frame: MemberDelta) -> None:
        for node_id in self._members.other_delegates():
            self._context.links.open(node_id).send(frame)

    def _take_delta(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, MemberDelta):
            self._spread.note_contact()
            self._members.take_delta(frame)

    def _take_list(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, MemberList):
            self._spread.note_contact()
            self._members.take_record(frame)

    def _lose_link(self, link: Link) -> None:
        followers = self._spread.followers
        if followers.get(link.peer_id) is link:
            followers.pop(link.peer_id)
        members = self._members
        if link.peer_id == members.delegate and not members.acting:
            members.suspect(link.peer_id)
            members.delegate = ''
