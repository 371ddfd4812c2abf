"""Learn the configuration and the upstreams, from the store or the home.

The home reads the store for all. Another node reads it too as soon as the
home's word is old: then it is on its own.
"""

import logging
from collections.abc import Collection

import anyio
from spanfall_core.gateway.known.listed import ListedUpstream, UnusableRecord
from spanfall_core.gateway.known.reporting import report_period

from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.net.ports import InvalidRecordError, StoredItem
from spanfall_node.gateway.store.configuration_sync import ConfigurationSync
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds between two reads of the store. With the seconds until the home's
#: next word this stays well under the two seconds in which a change is due.
READ_PERIOD = 0.6
#: Age of the newest proof, of the configuration or of the upstreams, at which
#: a node reads the store itself.
OLD_PROOF = 1.1
#: Seconds that a healthy home's word takes beyond the two periods: its read,
#: and the ways between data centres.
PROOF_SLACK = 0.25
#: Entries that read the store at the full pace when they are on their own;
#: each of a larger fleet reads more rarely, since calls are limited and paid.
FULL_PACE_ENTRIES = 25
#: Longest time between two reads of such an entry, while the store answers
#: and while it does not.
LONGEST_READ_PERIOD = 1.2
LONGEST_OUTAGE_PERIOD = 2.0
#: Seconds for which a node that starts leaves the store to the home: a link
#: and a table take some hundredths, and 195 nodes that restart in turn made
#: two calls each that told them the same. After a restart of all nobody tells
#: anything so soon, and callers wait for as long.
START_SECONDS = 0.06
START_STEP = 0.01
#: End of the last outage where there was none.
NO_OUTAGE = float('-inf')


def read_period(entries: int, *, is_home: bool, failing: bool) -> float:
    """Return the seconds between two reads of a node in such a fleet."""
    if is_home:
        return READ_PERIOD
    longest = LONGEST_OUTAGE_PERIOD if failing else LONGEST_READ_PERIOD
    paced = READ_PERIOD * entries / FULL_PACE_ENTRIES
    return min(longest, max(READ_PERIOD, paced))


def old_proof(entries: int) -> float:
    """Return the age at which a proof is older than a healthy home's."""
    return max(OLD_PROOF, READ_PERIOD + report_period(entries) + PROOF_SLACK)


class Sync:
    """Keep the configuration and the directory of a node up to date."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
    ) -> None:
        """Use the tables and the store of the node."""
        self._state = state
        self._store = store
        #: Revision of each entry that cannot be used, by upstream.
        self._unusable: dict[str, int] = {}
        self.configuration = ConfigurationSync(state, store)

    async def run(self) -> None:
        """Read the store as often as this node has to, until cancelled."""
        with anyio.move_on_after(START_SECONDS):
            await self._until_first_table()
        while True:
            if self._must_read():
                await self.read_all()
            await anyio.sleep(self._period())

    async def _until_first_table(self) -> None:
        """Wait until the home has told all, or cannot be reached.

        A node that is the home itself has nobody to wait for.
        """
        state = self._state
        while state.home is None:
            await state.home_changed.wait()
        home = state.home
        while self._waits_for(home):
            await anyio.sleep(START_STEP)

    def _waits_for(self, home: HomeRecord) -> bool:
        """Tell whether a home that is another node is still to tell all."""
        state = self._state
        if state.tenure is not None or state.home is not home:
            return False
        return state.configuration is None

    async def read_all(self) -> None:
        """Read the configuration and the upstreams once."""
        if self._store.health.failing:
            # One call tells whether the store is back.
            await self._guarded_configuration()
            if not self._store.health.failing:
                await self._guarded_upstreams()
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._guarded_configuration)
            tasks.start_soon(self._guarded_upstreams)

    @property
    def hears_store(self) -> bool:
        """Tell whether the store answered the last call."""
        return not self._store.health.failing

    async def reaches_store(self) -> bool:
        """Tell whether the store answers this node now."""
        await self._guarded_configuration()
        return self.hears_store

    def learn_upstreams(
        self,
        revision: int,
        rows: list[ListedUpstream],
        confirmed_at: float,
        outage_ended: float = NO_OUTAGE,
        unusable: Collection[str] = (),
    ) -> None:
        """Take over a listing of upstreams unless it is older.

        ``proved_at`` is when the read of it began, ``unusable`` names the
        upstreams whose entries cannot be used.
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
        for row in changed:
            logger.info(
                'Upstream %s of %s leaves or went, by listing %s',
                row.lifetime,
                row.service,
                revision,
            )
        for lifetime in before - self._state.directory.rows.keys():
            self._state.prompts.prefixes.forget(lifetime)
            self._state.granted_prompts.prefixes.forget(lifetime)
            self._state.loads.forget(lifetime)
            self._state.words.forget(lifetime, now)

    def _period(self) -> float:
        return read_period(
            self._state.quotas.entries,
            is_home=self._state.tenure is not None,
            failing=self._store.health.failing,
        )

    def _must_read(self) -> bool:
        state = self._state
        if state.tenure is not None:
            return True
        confirmed_at = min(
            state.freshness.confirmed_at, state.directory.confirmed_at
        )
        age = state.timers.now() - confirmed_at
        return age > old_proof(state.quotas.entries)

    async def _guarded_configuration(self) -> None:
        try:
            await self.configuration.read()
        except StoreError as exc:
            logger.info('Could not read the configuration: %r', exc)
        except InvalidRecordError:
            logger.exception('The configuration in the store is not valid')

    async def _guarded_upstreams(self) -> None:
        try:
            await self._read_upstreams()
        except StoreError as exc:
            logger.info('Could not list the upstreams: %r', exc)

    async def _read_upstreams(self) -> None:
        state = self._state
        began_at = state.timers.now()
        prefix = state.platform.store.upstream_prefix
        listing = await self._store.list_items(prefix)
        rows, unusable = self._sort_out(listing.items)
        self.learn_upstreams(
            listing.revision,
            rows,
            began_at,
            self._store.health.outage_ended,
            unusable,
        )

    def _sort_out(
        self,
        items: tuple[StoredItem, ...],
    ) -> tuple[list[ListedUpstream], set[str]]:
        """Return the upstreams listed and whose entries cannot be used."""
        rows: list[ListedUpstream] = []
        unusable: dict[str, int] = {}
        for item in items:
            entry = self._state.platform.read_upstream(item.key, item.content)
            if isinstance(entry, UnusableRecord):
                unusable[entry.upstream_id] = item.revision
                self._note_unusable(entry, item.revision)
            else:
                rows.append(entry)
        self._unusable = unusable
        return rows, set(unusable)

    def _note_unusable(self, entry: UnusableRecord, revision: int) -> None:
        """Log and count an entry once for each change of it."""
        if self._unusable.get(entry.upstream_id) == revision:
            return
        self._state.counters.unusable_entries.inc()
        logger.warning(
            'The entry of upstream %s, revision %s, cannot be used: %s',
            entry.upstream_id,
            revision,
            entry.reason,
        )
