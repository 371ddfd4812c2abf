"""Maintain the member list as one versioned record per data centre.

The nodes of a data centre send heartbeats to its delegate, the only node that
changes the record. All other nodes adopt any record with a higher version.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.placement import HomeCandidate


@dataclass(frozen=True, slots=True)
class Member:
    """Describe a node; each start of the node has a higher incarnation."""

    node_id: str
    incarnation: int
    data_centre: str
    address: str
    draining: bool = False


@dataclass(slots=True)
class Record:
    """Hold the members of one data centre, as published by its delegate."""

    version: int = 0
    delegate: str = ''
    members: dict[str, Member] = field(default_factory=dict)


@dataclass(slots=True)
class MemberTable:
    """Hold the records of all data centres.

    ``last_heartbeats`` has the time of the last heartbeat of each member of
    the local data centre. ``revision`` counts the changes of the table, for
    caches derived from it; ``homes`` is such a cache.
    """

    records: dict[str, Record] = field(default_factory=dict)
    last_heartbeats: dict[str, float] = field(default_factory=dict)
    revision: int = 0
    homes: dict[str, tuple[str, ...]] = field(default_factory=dict)


def make_record(
    version: int,
    delegate: str,
    members: Iterable[Member],
) -> Record:
    """Return a record that holds the members by node id."""
    rows = {member.node_id: member for member in members}
    return Record(version, delegate, rows)


def merge_record(
    table: MemberTable,
    data_centre: str,
    newer: Record,
) -> bool:
    """Replace a record if the version is newer; return whether it was."""
    known = table.records.get(data_centre)
    if known is not None and newer.version <= known.version:
        return False
    table.records[data_centre] = newer
    record_change(table)
    return True


def record_change(table: MemberTable) -> None:
    """Increment the revision and clear the cached homes."""
    table.revision += 1
    table.homes.clear()


def record_heartbeat(table: MemberTable, member: Member, now: float) -> bool:
    """Record a heartbeat at the delegate; return whether the list changed."""
    table.last_heartbeats[member.node_id] = now
    record = table.records.setdefault(member.data_centre, Record())
    known = record.members.get(member.node_id)
    if known == member:
        return False
    if known is not None and known.incarnation > member.incarnation:
        return False
    record.members[member.node_id] = member
    record.version += 1
    record_change(table)
    return True


def expire_members(
    table: MemberTable,
    data_centre: str,
    before: float,
) -> list[str]:
    """Remove the members without a heartbeat since a time.

    Return the ids of the removed members.
    """
    record = table.records.setdefault(data_centre, Record())
    silent = [
        node_id
        for node_id in record.members
        if table.last_heartbeats.get(node_id, 0) < before
    ]
    for node_id in silent:
        record.members.pop(node_id)
        table.last_heartbeats.pop(node_id, None)
    if silent:
        record.version += 1
        record_change(table)
    return silent


def all_members(table: MemberTable) -> list[Member]:
    """Return the members of all data centres."""
    return [
        member
        for record in table.records.values()
        for member in record.members.values()
    ]


def find_member(table: MemberTable, node_id: str) -> Member | None:
    """Return the member with this id, or None."""
    found = (
        record.members[node_id]
        for record in table.records.values()
        if node_id in record.members
    )
    return next(found, None)


def list_home_candidates(table: MemberTable) -> list[HomeCandidate]:
    """Return the nodes that are eligible as homes: all but draining ones."""
    return [
        HomeCandidate(member.node_id, member.data_centre)
        for member in all_members(table)
        if not member.draining
    ]
