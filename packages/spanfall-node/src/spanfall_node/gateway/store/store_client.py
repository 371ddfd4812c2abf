"""Call the platform's store; the one client of it.

Each call has its own deadline and ends in one of three ways: an answer, a
refusal that had no effect, or an outcome that nobody knows.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from spanfall_core.gateway.known.timelines import (
    combined_revision,
    revision_of,
    timeline_of,
)

from spanfall_node.gateway.net.errors import BrokenCallError, NotSentError
from spanfall_node.gateway.net.pool import ConnectionPool, call_once
from spanfall_node.gateway.net.ports import (
    HttpCall,
    HttpReply,
    Listing,
    StoredItem,
    Write,
)
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure, home_key

logger = logging.getLogger(__name__)

#: Seconds that a call may take; the store answers in milliseconds, and
#: fifty times as slowly on a bad day.
CALL_SECONDS = 1.2

Content = TypeVar('Content')


class StoreError(Exception):
    """Say that a call to the store brought no result."""


class StoreRefusedError(StoreError):
    """Say that a call had no effect."""


class StoreUncertainError(StoreError):
    """Say that a call may have had an effect, now or seconds later."""


class StoreRestoredError(StoreError):
    """Say that the store was restored from a copy meanwhile."""


class ConditionFailedError(StoreError):
    """Say that an item was changed since it was read."""


class LeaseLostError(StoreError):
    """Say that a lease has ended."""


@dataclass(slots=True)
class StoreHealth:
    """Hold when the store last began to answer again after an outage."""

    failing: bool = False
    outage_ended: float = float('-inf')

    def note(self, answered: bool, now: float) -> None:
        """Note the end of a call."""
        if answered and self.failing:
            self.outage_ended = now
            logger.info('The store answers again')
        if not answered and not self.failing:
            logger.warning('The store does not answer; going on without')
        self.failing = not answered


class StoreClient:
    """Make calls to the store in the platform's dialect."""

    def __init__(self, state: GatewayState, pool: ConnectionPool) -> None:
        """Use the node's settings and connections."""
        self._state = state
        self._pool = pool
        self._dialect = state.platform.store
        self.health = StoreHealth()
        self._timeline: int | None = None
        #: When an answer first told of the timeline that the store is on.
        self.timeline_since = float('-inf')
        #: Whether an answer told of another one before.
        self.was_restored = False

    @property
    def timeline(self) -> int:
        """Return the timeline that the store is on, as far as it is known."""
        return self._timeline or 0

    async def get(self, key: str) -> StoredItem | None:
        """Return an item as it is now, or None."""
        reply = await self._call(self._dialect.get(key), missing_ok=True)
        if reply.status == 404:
            return None
        return self._placed(_read(self._dialect.read_item, reply))

    async def list_items(self, prefix: str) -> Listing:
        """Return all items below a prefix, page by page.

        Raises:
            StoreRestoredError: not all pages are of one timeline.
        """
        page = await self._page(prefix, '')
        items = list(page.items)
        first = self.timeline
        revision = combined_revision(first, page.revision)
        while page.has_more and items:
            page = await self._page(prefix, items[-1].key)
            if self.timeline != first:
                raise StoreRestoredError
            items.extend(page.items)
        return Listing(tuple(map(self._placed, items)), revision)

    async def write_as_home(
        self,
        tenure: Tenure,
        write: Write,
        before: int | None = None,
    ) -> int:
        """Write an item while a node certainly holds the home's record.

        ``before`` is the revision that the item is to have; None: any. Raises
        what ``transact`` does.
        """
        expected = {home_key(tenure.timeline): tenure.epoch}
        if before is not None:
            expected[write.key] = before
        return await self.transact(tenure.timeline, expected, (write,))

    async def transact(
        self,
        timeline: int,
        expected: dict[str, int],
        writes: tuple[Write, ...],
        removed: tuple[str, ...] = (),
    ) -> int:
        """Write if the items still have the expected revisions.

        Raises:
            ConditionFailedError: an item was changed; nothing was written.
            LeaseLostError: a lease has ended; nothing was written.
            StoreRestoredError: the store is not on that timeline any more.
        """
        known = [revision for revision in expected.values() if revision]
        if any(timeline_of(revision) != timeline for revision in known):
            raise ConditionFailedError
        plain = {key: revision_of(known) for key, known in expected.items()}
        call = self._dialect.transact(plain, writes, removed)
        reply = await self._call(call, missing_ok=True, timeline=timeline)
        if reply.status == 412:
            raise ConditionFailedError
        if reply.status == 404:
            raise LeaseLostError
        return combined_revision(
            timeline, _read(self._dialect.read_revision, reply)
        )

    async def grant(self, timeline: int, seconds: float) -> int:
        """Return a new lease.

        Raises:
            StoreRestoredError: the store is not on that timeline any more.
        """
        call = self._dialect.grant(int(seconds * 1000))
        reply = await self._call(call, timeline=timeline)
        return _read(self._dialect.read_lease, reply)

    async def renew(
        self,
        timeline: int,
        lease: int,
        seconds: float = CALL_SECONDS,
    ) -> None:
        """Renew a lease that was given out on a timeline.

        Raises:
            LeaseLostError: the lease has ended.
            StoreRestoredError: the store is not on that timeline any more; the
                lease may be another one that bears the same number.
        """
        reply = await self._call(
            self._dialect.renew(lease),
            missing_ok=True,
            seconds=seconds,
            timeline=timeline,
        )
        if reply.status == 404:
            raise LeaseLostError

    async def revoke(self, timeline: int, lease: int) -> None:
        """End a lease that was given out on a timeline, and remove its items.

        Raises:
            StoreRestoredError: the store is not on that timeline any more.
        """
        call = self._dialect.revoke(lease)
        await self._call(call, missing_ok=True, timeline=timeline)

    def _placed(self, item: StoredItem) -> StoredItem:
        """Return an item just read, its revision with the timeline."""
        revision = combined_revision(self.timeline, item.revision)
        return replace(item, revision=revision)

    async def _page(self, prefix: str, after: str) -> Listing:
        reply = await self._call(self._dialect.list_items(prefix, after))
        return _read(self._dialect.read_listing, reply)

    async def _call(
        self,
        call: HttpCall,
        *,
        missing_ok: bool = False,
        seconds: float = CALL_SECONDS,
        timeline: int | None = None,
    ) -> HttpReply:
        """Make a call; one for a timeline fails if the store is on another."""
        self._check_timeline(timeline)
        now = self._state.timers.now
        counter = self._state.counters.store_calls
        address = self._state.cfg.store
        try:
            reply = await call_once(self._pool, address, call, seconds)
        except NotSentError as exc:
            counter.labels('not-sent').inc()
            self.health.note(answered=False, now=now())
            raise StoreRefusedError(exc.reason) from exc
        except BrokenCallError as exc:
            counter.labels('uncertain').inc()
            self.health.note(answered=False, now=now())
            raise StoreUncertainError(exc.reason) from exc
        counter.labels(reply.status).inc()
        self._note_timeline(reply)
        allowed = {200, 404, 412} if missing_ok else {200}
        if reply.status in {429, 503}:
            self.health.note(answered=False, now=now())
        if reply.status not in allowed:
            raise StoreRefusedError(f'the store answered {reply.status}')
        self.health.note(answered=True, now=now())
        self._check_timeline(timeline)
        return reply

    def _check_timeline(self, wanted: int | None) -> None:
        if wanted is not None and wanted != self.timeline:
            raise StoreRestoredError

    def _note_timeline(self, reply: HttpReply) -> None:
        """Note the timeline of an answer.

        Raises:
            StoreRestoredError: it is from before the last restore.
        """
        timeline = self._dialect.read_timeline(reply.headers)
        known = self._timeline
        if timeline is None or timeline == known:
            return
        if timeline < self.timeline:
            raise StoreRestoredError
        self._timeline = timeline
        self.timeline_since = self._state.timers.now()
        if known is not None:
            self.was_restored = True
            # What was written after the copy is written again, as after an
            # outage.
            self.health.outage_ended = self.timeline_since
            self._state.counters.store_restores.inc()
            logger.warning(
                'The store was restored from a copy: timeline %s after %s',
                timeline,
                known,
            )


def _read(reader: Callable[[bytes], Content], reply: HttpReply) -> Content:
    """Read what the store answered.

    Raises:
        StoreUncertainError: nobody can read it, though it may have acted.
    """
    try:
        return reader(reply.body)
    except (ValueError, RecursionError) as exc:
        raise StoreUncertainError(f'not an answer: {exc!r}') from exc
