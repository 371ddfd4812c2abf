"""Update the configuration and the upstreams from the store or the home.

The home reads the store for the fleet. Another node reads it itself once the
last confirmation from the home is too old.
"""

import logging
from collections.abc import Collection

import anyio
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.reporting import report_period

from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.net.ports import InvalidRecordError
from spanfall_node.gateway.store.configuration_sync import ConfigurationSync
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.store.store_client import (
    MAX_OUTAGE_READ_PERIOD,
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    StoreError,
)
from spanfall_node.gateway.store.upstream_entries import UpstreamEntries
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds between two reads of the store. Together with the time until the
#: home's next message this stays well below the two seconds within which a
#: change must be applied.
READ_PERIOD = 0.6
#: Age in seconds of the last confirmation, of the configuration or of the
#: upstreams, beyond which a node reads the store itself.
MAX_CONFIRMATION_AGE = 1.1
#: Additional seconds that a healthy home's confirmation may take: its read of
#: the store and the latency between data centres.
CONFIRMATION_SLACK = 0.25
#: Fleet size up to which entries without a home read the store at the full
#: rate. In larger fleets each reads less often, since calls are limited and
#: billed.
FULL_RATE_ENTRIES = 25
#: Maximum seconds between two reads of such an entry while the store responds.
MAX_READ_PERIOD = 1.2
#: Seconds for which a starting node waits for the home before it reads the
#: store, and seconds between two checks. A link and the first table take some
#: hundredths of a second; without the wait, 195 nodes restarted one by one
#: made two redundant calls each. After a restart of all nodes no home responds
#: that soon, and callers wait for this time.
STARTUP_WAIT_SECONDS = 0.06
STARTUP_POLL_SECONDS = 0.01
#: Value of ``outage_ended`` if there was no outage.
NO_OUTAGE = float('-inf')


def read_period(entries: int, *, is_home: bool, failing: bool) -> float:
    """Return the seconds between two reads of the store by a node."""
    if is_home:
        return READ_PERIOD
    max_period = MAX_OUTAGE_READ_PERIOD if failing else MAX_READ_PERIOD
    scaled = READ_PERIOD * entries / FULL_RATE_ENTRIES
    return min(max_period, max(READ_PERIOD, scaled))


def max_confirmation_age(entries: int) -> float:
    """Return the age that a confirmation from a healthy home stays below."""
    return max(
        MAX_CONFIRMATION_AGE,
        READ_PERIOD + report_period(entries) + CONFIRMATION_SLACK,
    )


class Sync:
    """Keep the configuration and the directory of a node up to date."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
    ) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        #: Reads that others want besides the regular ones.
        self.reads = FreshReads(state)
        self._entries = UpstreamEntries(state)
        #: Ended lifetimes that the last listing contained.
        self._ignored: set[Lifetime] = set()
        self.configuration = ConfigurationSync(state, store)

    async def run(self) -> None:
        """Read the store whenever this node has to, until cancelled."""
        with anyio.move_on_after(STARTUP_WAIT_SECONDS):
            await self._wait_for_first_table()
        while True:
            is_wanted = self.reads.take()
            if is_wanted or self._must_read():
                await self.read_all()
            await self.reads.pause(self._read_period())

    async def _wait_for_first_table(self) -> None:
        """Wait for the first table from the home.

        The wait ends if another home is found or this node becomes the home.
        """
        state = self._state
        while state.home is None:
            await state.home_changed.wait()
        home = state.home
        while self._is_awaiting(home):
            await anyio.sleep(STARTUP_POLL_SECONDS)

    def _is_awaiting(self, home: HomeRecord) -> bool:
        """Check whether the first table from ``home`` is still outstanding."""
        state = self._state
        if state.tenure is not None or state.home is not home:
            return False
        return state.configuration is None

    async def read_all(self) -> None:
        """Read the configuration and the upstreams once."""
        if self._store.is_failing:
            # One call tells whether the store is back.
            await self._try_read_configuration()
            if not self._store.is_failing:
                await self._try_read_upstreams()
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._try_read_configuration)
            tasks.start_soon(self._try_read_upstreams)

    def record_answer_to_home(self, timeline: int, answered_at: float) -> None:
        """Record an answer of the store to the home, as the home tells."""
        self._store.record_answer_to_home(timeline, answered_at)

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store answered the last call."""
        return not self._store.is_failing

    async def check_store(self) -> bool:
        """Call the store and return whether it responds."""
        await self._try_read_configuration()
        return self.is_store_reachable

    def apply_listing(
        self,
        revision: int,
        rows: list[ListedUpstream],
        confirmed_at: float,
        outage_ended: float = NO_OUTAGE,
        unusable: Collection[str] = (),
    ) -> None:
        """Apply a listing of upstreams unless it is older than the current one.

        ``confirmed_at`` is the time at which its read began. ``unusable``
        contains the upstreams with unusable entries.
        """
        now = self._state.timers.now()
        if revision >= self._state.directory.revision:
            self._state.directory.mark_confirmed(confirmed_at)
        before = self._state.directory.rows.keys()
        changed = self._state.directory.apply(
            revision,
            rows,
            now,
            outage_ended,
            unusable,
        )
        if self._state.directory.retained:
            self._schedule_pause(now)
            logger.info(
                'Kept %s upstreams that listing %s lacks: the store answered '
                'again %.2f s ago after an outage',
                len(self._state.directory.retained),
                revision,
                now - outage_ended,
            )
        for row in changed:
            logger.info(
                'Upstream %s of %s is leaving or gone, according to listing %s',
                row.lifetime,
                row.service,
                revision,
            )
        self._log_ended(revision)
        for lifetime in before - self._state.directory.rows.keys():
            self._state.prompts.prefixes.forget(lifetime)
            self._state.granted_prompts.prefixes.forget(lifetime)
            self._state.loads.forget(lifetime)
            self._state.words.forget(lifetime, now)
            self._state.upstream_speeds.forget(lifetime)

    def _log_ended(self, revision: int) -> None:
        """Log which ended upstreams a listing contains, once for each."""
        past = self._state.directory.past
        for lifetime in past.ignored - self._ignored:
            logger.warning(
                'Ignored the entry of upstream %s in listing %s: it has not been '
                'written since the upstream was found to have ended',
                lifetime,
                revision,
            )
        for back in past.take_returned():
            self._state.counters.listing.returned_upstreams.inc()
            self._state.crashes.table.record_alive(back)
            logger.warning(
                'Upstream %s serves again: it has written its entry since it '
                'was found to have ended, according to listing %s',
                back,
                revision,
            )
        self._ignored = set(past.ignored)

    def _schedule_pause(self, now: float) -> None:
        """Pause retained upstreams at the end of their time, not at a read."""
        directory = self._state.directory
        self._state.timers.once(
            max(0, directory.retained_until - now),
            directory.pause_retained,
        )

    def _read_period(self) -> float:
        return read_period(
            self._state.quotas.entries,
            is_home=self._state.tenure is not None,
            failing=self._store.is_failing,
        )

    def _must_read(self) -> bool:
        state = self._state
        if state.tenure is not None:
            return True
        confirmed_at = min(
            state.freshness.confirmed_at,
            state.directory.confirmed_at,
        )
        age = state.timers.now() - confirmed_at
        return age > max_confirmation_age(state.quotas.entries)

    async def _try_read_configuration(self) -> None:
        try:
            await self.configuration.read()
        except StoreError as exc:
            logger.info(
                'Could not read the configuration from the store: %r', exc
            )
        except InvalidRecordError:
            logger.exception(
                'Invalid configuration in the store; keeping the current one'
            )

    async def _try_read_upstreams(self) -> None:
        try:
            await self._read_upstreams()
        except StoreError as exc:
            logger.info('Could not list the upstreams from the store: %r', exc)

    async def _read_upstreams(self) -> None:
        state = self._state
        began_at = state.timers.now()
        prefix = state.platform.store.upstream_prefix
        listing = await self._store.list_items(prefix)
        rows, unusable = self._entries.read(listing.items)
        self.apply_listing(
            listing.revision,
            rows,
            began_at,
            self._store.outages.ended_at,
            unusable,
        )
