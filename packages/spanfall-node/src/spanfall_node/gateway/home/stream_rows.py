"""Keep in the store what began streams, as far as nothing else proves it.

The streams are those that have begun and whose route has, or had lately,
several services or software versions. A row holds many of them and is replaced
once all of its streams have expired.
"""

import logging
from dataclasses import dataclass, field
from itertools import chain

import anyio
import msgspec
from spanfall_core.gateway.known.stream_origins import (
    OriginGroup,
    StreamRecord,
    group_records,
    ungroup_records,
)

from spanfall_node.gateway.net.ports import StoredItem, Write
from spanfall_node.gateway.store.store_client import StoreClient
from spanfall_node.gateway.store.store_errors import StoreError
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure
from spanfall_node.gateway.upstreams.unproven_streams import take_unproven

logger = logging.getLogger(__name__)

#: Prefix of the keys of the rows.
ROW_PREFIX = 'spanfall/streams/'
#: Seconds for which streams are collected before they are written.
WRITE_PERIOD = 0.1
#: Streams from which on nothing is added to a row: it is written as a whole with
#: each addition.
FULL_ROW_STREAMS = 256
#: Maximum streams in a row; their keys take a quarter of a megabyte.
MAX_ROW_STREAMS = 16_384
#: Maximum number of rows: more than are written while a stream may be resumed.
MAX_ROWS = 256


class RowContent(msgspec.Struct, frozen=True):
    """Hold streams and the milliseconds for which they are kept.

    It contains no timestamp, since the clocks of hosts may jump. A row that is
    old does no harm: what began a stream does not change.
    """

    groups: tuple[OriginGroup, ...]


@dataclass(frozen=True, slots=True)
class Row:
    """Hold the streams of a row."""

    streams: list[StreamRecord]
    #: Time of the steady clock from which on none of them is resumed.
    expires_at: float


NO_ROW = Row([], float('-inf'))


@dataclass(slots=True)
class StreamRows:
    """Write the rows as the home, and read them when a tenure begins."""

    state: GatewayState
    store: StoreClient
    _rows: dict[int, Row] = field(default_factory=dict)
    #: Row to which streams are added.
    _current: int = 0

    async def run(self) -> None:
        """Read and write the rows while this node is the home."""
        while True:
            tenure = self.state.tenure
            if tenure is None:
                self.state.streams.unstored.clear()
                await self.state.home_changed.wait()
                continue
            if not self.store.is_failing:
                await self._synchronize(tenure)
            await anyio.sleep(WRITE_PERIOD)

    async def _synchronize(self, tenure: Tenure) -> None:
        streams = self.state.streams
        try:
            if streams.read_in != tenure.epoch:
                await self._read()
                streams.read_in = tenure.epoch
            streams.unstored.extend(take_unproven(self.state))
            while streams.unstored and self._is_home():
                await self._write(tenure)
        except StoreError as exc:
            logger.info('Could not read or write what began streams: %r', exc)

    def _is_home(self) -> bool:
        return self.state.is_home(self.state.timers.now())

    async def _read(self) -> None:
        """Adopt the rows of earlier homes; write again what they lack."""
        listing = await self.store.list_items(ROW_PREFIX)
        rows = list(self._rows.values())
        self._rows = {
            int(number): self._adopt(item)
            for item in listing.items
            if (number := item.key.removeprefix(ROW_PREFIX)).isdecimal()
        }
        stored = {
            stream.key for row in self._rows.values() for stream in row.streams
        }
        self.state.streams.unstored.extend(
            stream
            for stream in chain.from_iterable(row.streams for row in rows)
            if stream.key not in stored
        )
        logger.info(
            'Read what began %s streams from %s rows of the store',
            len(stored),
            len(self._rows),
        )

    def _adopt(self, item: StoredItem) -> Row:
        """Record the streams of a row, which are kept from now on."""
        now = self.state.timers.now()
        content = decode_record(item, RowContent)
        if content is None:
            return NO_ROW
        try:
            streams = list(ungroup_records(content.groups, now))
        except ValueError:
            logger.exception(
                'Invalid record %s in the store; ignoring it', item.key
            )
            return NO_ROW
        for stream in streams:
            self.state.streams.record(stream, now)
        return _row_of(streams)

    async def _write(self, tenure: Tenure) -> None:
        """Write the next streams, together with others of their row.

        Raises:
            StoreError: they may not have been written.
        """
        now = self.state.timers.now()
        number = self._row_with_room(now)
        kept = self._rows.get(number, NO_ROW).streams
        streams = [stream for stream in kept if stream.expires_at > now]
        added = self._take(MAX_ROW_STREAMS - len(streams), now)
        if not added:
            return
        streams.extend(added)
        content = RowContent(group_records(streams, now))
        write = Write(_row_key(number), msgspec.json.encode(content))
        try:
            await self.store.write_as_home(tenure, write)
        except StoreError:
            self.state.streams.unstored.extendleft(reversed(added))
            raise
        self._rows[number] = _row_of(streams)
        self._current = number

    def _take(self, most: int, now: float) -> list[StreamRecord]:
        unstored = self.state.streams.unstored
        taken = [unstored.popleft() for _ in range(min(most, len(unstored)))]
        return [stream for stream in taken if stream.expires_at > now]

    def _row_with_room(self, now: float) -> int:
        """Return the row to add to: the current one, or one that is over."""
        current = self._rows.get(self._current, NO_ROW)
        if len(current.streams) < FULL_ROW_STREAMS:
            return self._current
        ends = [
            self._rows.get(number, NO_ROW).expires_at
            for number in range(MAX_ROWS)
        ]
        number = ends.index(min(ends))
        if ends[number] > now:
            logger.warning(
                'All %s rows of the store hold streams that may be resumed; '
                'replacing row %s, which expires first',
                MAX_ROWS,
                number,
            )
        return number


def _row_of(streams: list[StreamRecord]) -> Row:
    ends = (stream.expires_at for stream in streams)
    return Row(streams, max(ends, default=NO_ROW.expires_at))


def _row_key(number: int) -> str:
    return f'{ROW_PREFIX}{number:03}'
