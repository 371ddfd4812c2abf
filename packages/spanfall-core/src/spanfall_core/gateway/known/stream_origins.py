"""Remember which software began each stream, for callers that resume it.

A record is kept under a hash of the stream's workspace, route and attempt, so
that one caller cannot name the stream of another workspace. It expires with the
patience of the caller.
"""

import struct
from array import array
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.origins import Origin

#: Maximum number of records of a node, over four times those of 10,000 streams
#: a second whose callers wait for 10 s.
MAX_RECORDS = 400_000
#: Type code of an array of unsigned 64-bit integers.
KEY_TYPE = 'Q'
KEY_BYTES = 8
MS_PER_SECOND = 1000

#: Hash that names a stream.
StreamKey = int


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """State what began a stream."""

    key: StreamKey
    origin: Origin
    #: Time of the steady clock from which on no caller resumes the stream.
    expires_at: float
    #: Whether events were relayed; otherwise the origin was only granted.
    is_begun: bool = False


def stream_key(workspace: str, route: str, attempt_id: str) -> StreamKey:
    """Return the key of the stream of an attempt."""
    return xxh3_64_intdigest(f'{workspace}\0{route}\0{attempt_id}'.encode())


@dataclass(slots=True)
class StreamOrigins:
    """Hold the origins of streams until they expire."""

    _granted: dict[StreamKey, Origin] = field(default_factory=dict)
    _begun: dict[StreamKey, Origin] = field(default_factory=dict)
    #: Keys by the second after which they expire.
    _expiring: dict[int, 'array[int]'] = field(default_factory=dict)
    #: Keys whose expiry was deferred, and until when.
    _deferred: dict[StreamKey, float] = field(default_factory=dict)
    _swept_at: int = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._granted) + len(self._begun)

    def record(self, record: StreamRecord, now: float) -> bool:
        """Add a record; return whether it tells something new.

        One of a stream that has begun replaces a grant. Streams of one key that
        began at different origins leave it unknown.
        """
        self._drop_expired(now)
        is_new = self._begin(record) if record.is_begun else self._grant(record)
        if is_new:
            self._expire(record.key, record.expires_at)
        while len(self._granted) + len(self._begun) > MAX_RECORDS:
            self._drop_second(min(self._expiring))
        return is_new

    def find(self, key: StreamKey, now: float) -> Origin | None:
        """Return the origin of a stream, if it is recorded."""
        self._drop_expired(now)
        return self._begun.get(key) or self._granted.get(key)

    def has_begun(self, key: StreamKey, now: float) -> bool:
        """Return whether events of a stream are known to have been relayed."""
        self._drop_expired(now)
        return key in self._begun

    def defer(self, key: StreamKey, expires_at: float) -> None:
        """Keep a record for a caller that has resumed its stream."""
        if key in self._begun or key in self._granted:
            self._deferred[key] = expires_at
            self._expire(key, expires_at)

    def records(self, now: float) -> Iterator[StreamRecord]:
        """Yield all records, those that expire first first."""
        self._drop_expired(now)
        for second in sorted(self._expiring):
            for key in dict.fromkeys(self._expiring[second]):
                origin = self._begun.get(key) or self._granted.get(key)
                if origin is not None:
                    is_begun = key in self._begun
                    yield StreamRecord(key, origin, second - 1, is_begun)

    def _grant(self, record: StreamRecord) -> bool:
        key, origin = record.key, record.origin
        if key in self._begun or self._granted.get(key) == origin:
            return False
        self._granted[key] = origin
        return True

    def _begin(self, record: StreamRecord) -> bool:
        key, origin = record.key, record.origin
        self._granted.pop(key, None)
        known = self._begun.get(key)
        if known == origin or (known is not None and not known.is_known):
            return False
        if known is not None:
            origin = Origin(origin.service, None)
        self._begun[key] = origin
        return True

    def _expire(self, key: StreamKey, expires_at: float) -> None:
        second = int(expires_at) + 1
        keys = self._expiring.get(second)
        if keys is None:
            keys = self._expiring.setdefault(second, array(KEY_TYPE))
        keys.append(key)

    def _drop_expired(self, now: float) -> None:
        if int(now) == self._swept_at:
            return
        self._swept_at = int(now)
        expired = [second for second in self._expiring if second <= now]
        for second in expired:
            self._drop_second(second)

    def _drop_second(self, second: int) -> None:
        for key in self._expiring.pop(second):
            if int(self._deferred.get(key, 0)) + 1 > second:
                continue
            self._deferred.pop(key, None)
            self._granted.pop(key, None)
            self._begun.pop(key, None)


class OriginGroup(NamedTuple):
    """Hold the streams of one origin that expire in the same second."""

    service: str
    software_version: str | None
    #: Milliseconds until they expire.
    left_ms: int
    #: Keys as unsigned 64-bit integers, the most significant byte first.
    keys: bytes
    is_begun: bool


def group_records(
    records: Iterable[StreamRecord], now: float
) -> tuple[OriginGroup, ...]:
    """Pack records for another node."""
    groups: defaultdict[tuple[Origin, int, bool], list[int]] = defaultdict(list)
    for row in records:
        kind = (row.origin, int(row.expires_at), row.is_begun)
        groups[kind].append(row.key)
    return tuple(
        OriginGroup(
            origin.service,
            origin.software_version,
            int((second - now) * MS_PER_SECOND),
            struct.pack(f'>{len(keys)}Q', *keys),
            is_begun,
        )
        for (origin, second, is_begun), keys in groups.items()
    )


def ungroup_records(
    groups: Iterable[OriginGroup], now: float
) -> Iterator[StreamRecord]:
    """Yield the records that another node packed.

    Raises:
        ValueError: the bytes of a group are no whole number of keys.
    """
    return chain.from_iterable(_unpack(group, now) for group in groups)


def _unpack(group: OriginGroup, now: float) -> Iterator[StreamRecord]:
    if len(group.keys) % KEY_BYTES:
        raise ValueError(
            f'stream keys truncated: got {len(group.keys)} bytes, '
            f'not a multiple of {KEY_BYTES}'
        )
    expires_at = now + group.left_ms / MS_PER_SECOND
    origin = Origin(group.service, group.software_version)
    keys = struct.unpack(f'>{len(group.keys) // KEY_BYTES}Q', group.keys)
    return (
        StreamRecord(key, origin, expires_at, group.is_begun) for key in keys
    )
