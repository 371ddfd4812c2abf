"""Hold the member list of a node, and choose homes from it."""

import logging
from collections.abc import Callable

from spanfall_api.frames import MemberDelta, MemberEntry, MemberList
from spanfall_core.membership import (
    Member,
    MemberTable,
    Record,
    all_members,
    find_member,
    list_home_candidates,
    make_record,
    merge_record,
)
from spanfall_core.placement import choose_homes

from spanfall_node.context import Context

logger = logging.getLogger(__name__)

#: A node that is not reached is left out for at most 2**4 member timeouts.
MAX_DOUBLINGS = 4
#: A record that is outbid rises by more than any other delegate added.
VERSION_STEP = 1000

Listener = Callable[[], None]


def entry_of(member: Member) -> MemberEntry:
    """Return the message form of a member."""
    return MemberEntry(
        node_id=member.node_id,
        incarnation=member.incarnation,
        data_centre=member.data_centre,
        address=member.address,
        draining=member.draining,
    )


def member_of(entry: MemberEntry) -> Member:
    """Return the member that a message describes."""
    return Member(
        entry.node_id,
        entry.incarnation,
        entry.data_centre,
        entry.address,
        entry.draining,
    )


def delta_of(data_centre: str, old: Record, new: Record) -> MemberDelta:
    """Return the message that makes a new record of an old one."""
    return MemberDelta(
        data_centre=data_centre,
        base=old.version,
        version=new.version,
        delegate=new.delegate,
        changed=tuple(
            entry_of(member)
            for node_id, member in new.members.items()
            if old.members.get(node_id) != member
        ),
        gone=tuple(old.members.keys() - new.members.keys()),
    )


class Members:
    """Hold the member list and what this node thinks of it.

    ``acting`` tells that this node is the delegate of its data centre;
    otherwise ``delegate`` names the one it follows, or nothing.
    """

    def __init__(self, context: Context) -> None:
        """Start with the seeds of the settings as addresses only."""
        self.table = MemberTable()
        self.changed: list[Listener] = []
        self.acting = False
        self.delegate = ''
        self.address = ''
        self.suspects: dict[str, float] = {}
        self._context = context
        self._failures: dict[str, int] = {}
        self._addresses = {
            seed.node_id: seed.address for seed in context.cfg.seeds
        }

    @property
    def data_centre(self) -> str:
        """Return the data centre of this node."""
        return self._context.cfg.data_centre

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
        return self._addresses.get(node_id)

    def homes_of(self, service: str) -> tuple[str, ...]:
        """Return the homes of a service, acting home first.

        Nodes that could not be reached lately are left out.
        """
        self._forget_suspects()
        known = self.table.homes.get(service)
        if known is None:
            places = [
                place
                for place in list_home_candidates(self.table)
                if place.node_id not in self.suspects
            ]
            known = choose_homes(service, places)
            self.table.homes[service] = known
        return known

    def suspect(self, node_id: str) -> None:
        """Leave a node out of homes, longer each time in a row."""
        if node_id == self._context.node_id:
            return
        count = self._failures.get(node_id, 0)
        self._failures[node_id] = min(MAX_DOUBLINGS, count + 1)
        pause = self._context.cfg.times.member_timeout * 2**count
        self.suspects[node_id] = self._context.timers.now() + pause
        self.table.homes.clear()

    def trust(self, node_id: str) -> None:
        """Note that a node was reached."""
        self._failures.pop(node_id, None)

    def follow(self, holder: MemberEntry) -> None:
        """Follow another delegate, by its entry in the store."""
        if self.acting:
            logger.info('Delegate %s takes over here', holder.node_id)
        self.acting = False
        self.delegate = holder.node_id
        self._addresses[holder.node_id] = holder.address

    def fallback_delegate(self) -> str:
        """Choose a delegate without the store, as all nodes here would."""
        nodes = {
            place.node_id
            for place in list_home_candidates(self.table)
            if place.data_centre == self.data_centre
        }
        nodes.update(
            seed.node_id
            for seed in self._context.cfg.seeds
            if seed.data_centre == self.data_centre
        )
        self._forget_suspects()
        nodes.difference_update(self.suspects)
        nodes.add(self._context.node_id)
        return min(nodes)

    def other_delegates(self) -> set[str]:
        """Return whom to ask in each other data centre.

        Seeds stand in for the delegates of data centres not known yet.
        """
        found = {
            name: record.delegate
            for name, record in self.table.records.items()
            if record.delegate
        }
        for seed in self._context.cfg.seeds:
            found.setdefault(seed.data_centre, seed.node_id)
        found.pop(self.data_centre, None)
        return set(found.values())

    def record_of(self, data_centre: str) -> MemberList:
        """Return the record of a data centre as a message."""
        record = self.table.records[data_centre]
        return MemberList(
            data_centre=data_centre,
            version=record.version,
            delegate=record.delegate,
            members=tuple(map(entry_of, record.members.values())),
        )

    def take_record(self, frame: MemberList) -> None:
        """Take a record if it is newer; outbid one that claims our own.

        Our own write comes back from the store and is no other claim.
        """
        if self.acting and frame.data_centre == self.data_centre:
            known = self.record_of(frame.data_centre)
            if frame.version >= known.version and frame != known:
                self.outbid(frame.version)
            return
        newer = make_record(
            frame.version,
            frame.delegate,
            map(member_of, frame.members),
        )
        if merge_record(self.table, frame.data_centre, newer):
            self.tell_changed()

    def take_delta(self, frame: MemberDelta) -> None:
        """Take the changes of a record, if they begin where ours ends.

        Otherwise the next heartbeat brings the whole record.
        """
        known = self.table.records.get(frame.data_centre, Record())
        is_own = self.acting and frame.data_centre == self.data_centre
        if is_own or known.version != frame.base:
            return
        members = {
            **known.members,
            **{entry.node_id: member_of(entry) for entry in frame.changed},
        }
        for node_id in frame.gone:
            members.pop(node_id, None)
        newer = Record(frame.version, frame.delegate, members)
        if merge_record(self.table, frame.data_centre, newer):
            self.tell_changed()

    def outbid(self, version: int) -> None:
        """Give the own record a version above another one."""
        record = self.table.records[self.data_centre]
        record.version = max(record.version, version) + VERSION_STEP
        self.tell_changed()

    def drop_record(self, data_centre: str) -> None:
        """Take out a data centre whose delegate's lease has lapsed.

        A lease also lapses while the store is away; a delegate that we
        still have a link with is not lost.
        """
        record = self.table.records.get(data_centre)
        if record is None or data_centre == self.data_centre:
            return
        if self._context.links.is_up(record.delegate):
            return
        if record.members:
            logger.warning('Data centre %s is gone from the list', data_centre)
            empty = make_record(record.version + 1, '', ())
            merge_record(self.table, data_centre, empty)
            self.tell_changed()

    def tell_changed(self) -> None:
        """Tell listeners that the list has changed."""
        self._context.metrics.members.set(len(all_members(self.table)))
        for listener in self.changed:
            listener()

    def _forget_suspects(self) -> None:
        now = self._context.timers.now()
        over = [
            node_id for node_id, until in self.suspects.items() if until <= now
        ]
        for node_id in over:
            self.suspects.pop(node_id)
        if over:
            self.table.homes.clear()
