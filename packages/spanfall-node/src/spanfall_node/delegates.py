"""Hold or follow the delegate's lease, and watch the store as delegate.

Only delegates keep calls open at the key-value service: two watches each, a
lease renewal every third of the lease, and one write when their record
changes. Other nodes call it when they start and when they lose their
delegate.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio
from pydantic import TypeAdapter
from spanfall_api.frames import MemberEntry, MemberList

from spanfall_node.config_spread import ConfigSpread
from spanfall_node.config_store import LOG_PREFIX
from spanfall_node.context import Context
from spanfall_node.heartbeats import Heartbeats
from spanfall_node.keyvalue import StoreError, WatchEvent
from spanfall_node.members import Members, entry_of

logger = logging.getLogger(__name__)

MEMBERS_PREFIX = 'members/'
#: Renewals in the time of one lease.
RENEWALS = 3
#: Seconds in which changes of a record are gathered into one write.
RECORD_DELAY = 0.25
#: Seconds to wait after a failed call, doubled up to the lease.
FIRST_PAUSE = 0.5

_RECORD = TypeAdapter(MemberList)
_HOLDER = TypeAdapter(MemberEntry)


class Delegates:
    """Contend for the lease of this data centre and do its duties."""

    def __init__(
        self,
        context: Context,
        members: Members,
        heartbeats: Heartbeats,
        spread: ConfigSpread,
    ) -> None:
        """Take part once ``run`` is started."""
        self._context = context
        self._members = members
        self._heartbeats = heartbeats
        self._spread = spread
        self._lease = 0
        self._key = f'delegates/{context.cfg.data_centre}'
        self._written = (0, 0)

    async def run(self) -> None:
        """Contend, renew and watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            tasks.start_soon(self._while_acting, self._watch_config)
            tasks.start_soon(self._while_acting, self._watch_members)
            tasks.start_soon(self._while_acting, self._write_record)

    async def _keep_lease(self) -> None:
        times = self._context.cfg.times
        while True:
            try:
                await self._contend()
            except StoreError as exc:
                logger.info('The store does not answer: %s', exc)
            is_settled = self._lease or not self._members.acting
            pause = times.lease / RENEWALS if is_settled else times.heartbeat
            await anyio.sleep(pause)

    async def _contend(self) -> None:
        store = self._context.store
        if self._lease:
            if await store.keep_alive(self._lease):
                self._spread.note_contact()
                return
            self._lease = 0
        if self._members.delegate and not self._members.acting:
            return
        entry = await store.get(self._key)
        if entry is not None:
            self._follow(_HOLDER.validate_json(entry.value))
            return
        lease = await store.grant(int(self._context.cfg.times.lease))
        own = entry_of(self._members.own_member())
        raw = own.model_dump_json().encode()
        if await store.create(self._key, raw, lease):
            self._lease = lease
            self._heartbeats.assume()
            # The old record may have lapsed and been dropped elsewhere.
            self._members.outbid(0)

    def _follow(self, holder: MemberEntry) -> None:
        if holder.node_id == self._context.node_id:
            return
        if holder.node_id in self._members.suspects:
            return
        if self._members.acting or not self._members.delegate:
            self._members.follow(holder)

    async def _while_acting(
        self,
        duty: Callable[[], Awaitable[None]],
    ) -> None:
        pause = FIRST_PAUSE
        while True:
            if self._members.acting:
                try:
                    await duty()
                except StoreError as exc:
                    logger.info('A call to the store failed: %s', exc)
                    await anyio.sleep(pause)
                    lease = self._context.cfg.times.lease
                    pause = min(lease, pause + pause)
                    continue
            pause = FIRST_PAUSE
            await anyio.sleep(RECORD_DELAY)

    async def _watch_config(self) -> None:
        listing = await self._context.store.list_prefix(LOG_PREFIX)
        for entry in sorted(listing.entries, key=lambda row: row.revision):
            self._spread.take_document(entry.value, None)
        await self._watch(LOG_PREFIX, listing.revision, self._take_log_event)

    async def _watch_members(self) -> None:
        listing = await self._context.store.list_prefix(MEMBERS_PREFIX)
        for entry in listing.entries:
            self._take_record(entry.value)
        await self._watch(
            MEMBERS_PREFIX,
            listing.revision,
            self._take_member_event,
        )

    async def _watch(
        self,
        prefix: str,
        revision: int,
        take: Callable[[WatchEvent], None],
    ) -> None:
        async for event in self._context.store.watch(prefix, revision):
            if not self._members.acting:
                return
            self._spread.note_contact()
            take(event)

    def _take_log_event(self, event: WatchEvent) -> None:
        if not event.deleted:
            self._spread.take_document(event.entry.value, None)

    def _take_member_event(self, event: WatchEvent) -> None:
        if event.deleted:
            data_centre = event.entry.key.removeprefix(MEMBERS_PREFIX)
            self._members.drop_record(data_centre)
        else:
            self._take_record(event.entry.value)

    def _take_record(self, raw: bytes) -> None:
        self._members.take_record(_RECORD.validate_json(raw))

    async def _write_record(self) -> None:
        record = self._members.record_of(self._members.data_centre)
        written = (record.version, self._lease)
        if written == self._written:
            return
        key = MEMBERS_PREFIX + record.data_centre
        raw = record.model_dump_json().encode()
        await self._context.store.put(key, raw, self._lease)
        self._written = written
