"""Provide the only client of the platform's store.

Each call has its own time-out and ends in one of three ways: a response, a
rejection without any effect, or an unknown outcome.
"""

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from spanfall_core.gateway.known.store_outages import StoreOutages
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
from spanfall_node.gateway.store.store_errors import (
    ConditionFailedError,
    LeaseLostError,
    StoreRefusedError,
    StoreRestoredError,
    StoreUncertainError,
)
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure, home_key

logger = logging.getLogger(__name__)

#: Time-out of a call in seconds; the store usually responds within
#: milliseconds, and occasionally fifty times as slowly.
CALL_TIMEOUT_SECONDS = 1.2
#: Maximum seconds between two reads by a node without a home during an outage.
MAX_OUTAGE_READ_PERIOD = 2.0
#: Seconds for which a failed call counts; a node that has to read the store
#: makes the next call earlier.
FAILURE_MEMORY_SECONDS = MAX_OUTAGE_READ_PERIOD + CALL_TIMEOUT_SECONDS

Content = TypeVar('Content')


class StoreClient:
    """Call the store through the platform's adapter."""

    def __init__(self, state: GatewayState, pool: ConnectionPool) -> None:
        """Use the state and the connection pool of the node."""
        self._state = state
        self._pool = pool
        self._dialect = state.platform.store
        self.outages = StoreOutages(state.cfg.upstream_heartbeat_seconds)
        self._timeline: int | None = None
        #: Time at which the current timeline was first observed.
        self.timeline_since = float('-inf')
        #: Whether a response contained another timeline before.
        self.was_restored = False

    @property
    def timeline(self) -> int:
        """Return the latest observed timeline of the store, or 0."""
        return self._timeline or 0

    @property
    def is_failing(self) -> bool:
        """Return whether the store does not answer this node."""
        now = self._state.timers.now()
        return self.outages.is_failing(now, FAILURE_MEMORY_SECONDS)

    def record_answer_to_home(self, timeline: int, answered_at: float) -> None:
        """Record an answer of the store to the home, on a timeline or a later.

        A node that follows a home makes no calls itself, and would otherwise
        take a change of long ago for one that happened at its next call.
        """
        self.outages.record_answer(answered_at)
        if timeline > self.timeline:
            self._enter_timeline(timeline)

    async def get(self, key: str) -> StoredItem | None:
        """Return the current item of a key, or None."""
        reply = await self._call(self._dialect.get(key), missing_ok=True)
        if reply.status == 404:
            return None
        return self._with_timeline(_read(self._dialect.read_item, reply))

    async def list_items(self, prefix: str) -> Listing:
        """Return all items under a prefix, read page by page.

        Raises:
            StoreRestoredError: the pages are not all of one timeline.
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
        return Listing(tuple(map(self._with_timeline, items)), revision)

    async def write_as_home(
        self,
        tenure: Tenure,
        write: Write,
        before: int | None = None,
    ) -> int:
        """Write an item on condition that this node holds the home record.

        ``before`` is the expected revision of the item; None: any. Raises the
        errors of ``transact``.
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
        """Write items if all expected revisions still match.

        Raises:
            ConditionFailedError: an item was changed; nothing was written.
            LeaseLostError: a lease has expired; nothing was written.
            StoreRestoredError: the store has left that timeline.
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
            timeline,
            _read(self._dialect.read_revision, reply),
        )

    async def grant(self, timeline: int, seconds: float) -> int:
        """Create a lease and return its number.

        Raises:
            StoreRestoredError: the store has left that timeline.
        """
        call = self._dialect.grant(int(seconds * 1000))
        reply = await self._call(call, timeline=timeline)
        return _read(self._dialect.read_lease, reply)

    async def renew(
        self,
        timeline: int,
        lease: int,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Renew a lease that was granted on a timeline.

        Raises:
            LeaseLostError: the lease has expired.
            StoreRestoredError: the store has left that timeline; another
                lease may have the same number now.
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
        """Revoke a lease that was granted on a timeline and remove its items.

        Raises:
            StoreRestoredError: the store has left that timeline.
        """
        call = self._dialect.revoke(lease)
        await self._call(call, missing_ok=True, timeline=timeline)

    def _with_timeline(self, item: StoredItem) -> StoredItem:
        """Return an item with the timeline added to its revision."""
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
        seconds: float = CALL_TIMEOUT_SECONDS,
        timeline: int | None = None,
    ) -> HttpReply:
        """Make a call, which fails if the store is not on ``timeline``."""
        self._check_timeline(timeline)
        counter = self._state.counters.store_calls
        address = self._state.cfg.store
        try:
            reply = await call_once(self._pool, address, call, seconds)
        except NotSentError as exc:
            counter.labels('not-sent').inc()
            self._record_failure()
            raise StoreRefusedError(exc.reason) from exc
        except BrokenCallError as exc:
            counter.labels('uncertain').inc()
            self._record_failure()
            raise StoreUncertainError(exc.reason) from exc
        counter.labels(reply.status).inc()
        self._record_timeline(reply)
        allowed = {200, 404, 412} if missing_ok else {200}
        if reply.status in {429, 503}:
            self._record_failure()
        if reply.status not in allowed:
            raise StoreRefusedError(
                f'the store responded with status {reply.status}'
            )
        self._record_answer()
        self._check_timeline(timeline)
        return reply

    def _record_failure(self) -> None:
        if not self.is_failing:
            logger.warning('The store does not respond; continuing without it')
        self.outages.record_failure(self._state.timers.now())

    def _record_answer(self) -> None:
        if self.is_failing:
            logger.info('The store responds again')
        self.outages.record_answer(self._state.timers.now())

    def _check_timeline(self, wanted: int | None) -> None:
        if wanted is not None and wanted != self.timeline:
            raise StoreRestoredError

    def _record_timeline(self, reply: HttpReply) -> None:
        """Record the timeline of a response.

        Raises:
            StoreRestoredError: the response predates the last restore.
        """
        timeline = self._dialect.read_timeline(reply.headers)
        if timeline is None or timeline == self._timeline:
            return
        if timeline < self.timeline:
            raise StoreRestoredError
        self._enter_timeline(timeline)

    def _enter_timeline(self, timeline: int) -> None:
        known = self._timeline
        self._timeline = timeline
        self.timeline_since = self._state.timers.now()
        if known is not None:
            self.was_restored = True
            # Writes made after the backup are repeated, as after an outage.
            self.outages.record_restore(self.timeline_since)
            self._state.counters.store_restores.inc()
            logger.warning(
                'The store was restored from a backup: timeline %s, was %s',
                timeline,
                known,
            )


def _read(reader: Callable[[bytes], Content], reply: HttpReply) -> Content:
    """Decode a response of the store.

    Raises:
        StoreUncertainError: the response is invalid; the call may have had an
            effect.
    """
    try:
        return reader(reply.body)
    except (ValueError, RecursionError) as exc:
        raise StoreUncertainError(
            f'invalid response of the store: {exc!r}'
        ) from exc
