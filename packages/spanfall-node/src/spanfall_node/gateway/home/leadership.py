"""Choose the home of the fleet: the holder of one leased record.

The revision of the record is the home's epoch and the fencing token of its
calls. A holder acts only while its lease is certain to last, counted from
before the renewal was sent. A store that was restored from a copy has lost
record and lease: there is another record for each timeline.
"""

import logging

import anyio
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)

from spanfall_node.gateway.home.claiming import Claim, claim_home
from spanfall_node.gateway.home.home_content import HomeContent, name_home
from spanfall_node.gateway.home.home_pace import (
    LOOK_PERIOD,
    MOST_OUTAGE_LOOKS,
    OUTAGE_LOOK_PERIOD,
    SMALL_HOST_SECONDS,
    is_small,
    look_period,
)
from spanfall_node.gateway.home.new_tenure import begin_tenure, go_on
from spanfall_node.gateway.net.ports import StoredItem
from spanfall_node.gateway.store.home_records import HomeRecords
from spanfall_node.gateway.store.store_client import (
    LeaseLostError,
    StoreClient,
    StoreError,
    StoreRestoredError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.store.sync import old_proof
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure, home_key

logger = logging.getLogger(__name__)

#: Seconds that the home's lease lasts without renewal, where the store
#: grants one as short.
LEASE_SECONDS = 2.5
#: Seconds before the end of the lease at which its holder stops to act.
LEASE_MARGIN = 0.5
#: Seconds between two renewals.
RENEW_PERIOD = 0.5
#: Seconds for one: a home that is cut off hands over while its lease lasts.
RENEW_SECONDS = 0.3
#: Seconds since the last renewal after which failures mean that the home is
#: cut off; a single answer that is lost does not.
CUT_SECONDS = 0.85
#: Seconds until the next after one that failed.
RETRY_PERIOD = 0.1


class Leadership:
    """Find the home, or become it when there is none."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        records: HomeRecords,
    ) -> None:
        """Use the tables of the node, the store and what homes record."""
        self._state = state
        self._store = store
        self._records = records
        #: When this node first saw that nobody holds the record.
        self._free_since: float | None = None

    async def run(self) -> None:
        """Follow or hold the home's record until cancelled."""
        while True:
            try:
                await self._step()
            except LeaseLostError:
                self._lay_down('the lease has ended')
                self._state.look_now.set()
            except StoreError as exc:
                logger.info('Could not look up the home: %r', exc)
            await self._wait(self._pause())

    async def _wait(self, seconds: float) -> None:
        """Wait for some seconds, or until there is a reason to look."""
        state = self._state
        with anyio.move_on_after(seconds):
            await state.look_now.wait()
        if state.look_now.is_set():
            state.look_now = anyio.Event()

    async def resign(self) -> None:
        """Give the record up, so that another node takes over at once.

        This node goes on to answer the entries until it knows another home.
        """
        tenure = self._state.tenure
        if tenure is None:
            return
        self._lay_down('this node stops')
        try:
            await self._store.revoke(tenure.timeline, tenure.lease)
        except StoreError as exc:
            logger.info('Could not end the lease: %r', exc)

    @property
    def _lease_seconds(self) -> float:
        return max(LEASE_SECONDS, self._state.cfg.least_lease_seconds)

    def _pause(self) -> float:
        tenure = self._state.tenure
        if tenure is not None and not tenure.resigned:
            return RETRY_PERIOD if self._store.health.failing else RENEW_PERIOD
        entries = self._state.quotas.entries
        if self._store.health.failing:
            return look_period(OUTAGE_LOOK_PERIOD, entries, MOST_OUTAGE_LOOKS)
        return look_period(LOOK_PERIOD, entries)

    async def _step(self) -> None:
        state = self._state
        tenure = state.tenure
        if tenure is not None and not tenure.resigned:
            await self._renew(tenure)
        elif state.home is None or self._is_doubtful():
            await self._look()

    def _is_doubtful(self) -> bool:
        """Tell whether the home is silent or cannot reach the store."""
        state = self._state
        if state.home_resigned or state.tenure is not None:
            return True
        now = state.timers.now()
        entries = state.quotas.entries
        silence = max(LEASE_SECONDS, load_expires_after(report_period(entries)))
        if now - state.home_heard_at > silence:
            return True
        age = max(LEASE_SECONDS, old_proof(entries))
        return state.freshness.age(now) > age

    async def _renew(self, tenure: Tenure) -> None:
        sent_at = self._state.timers.now()
        try:
            await self._store.renew(
                tenure.timeline,
                tenure.lease,
                RENEW_SECONDS,
            )
        except StoreRestoredError:
            if tenure.timeline < self._store.timeline:
                await self._hold_next_record(tenure)
            return
        except StoreError:
            now = self._state.timers.now()
            tenure.is_cut = now - tenure.renewed_at > CUT_SECONDS
            raise
        if tenure.resigned:
            # Handed over meanwhile: what was renewed is not held any more.
            return
        tenure.is_cut = False
        tenure.renewed_at = sent_at
        tenure.valid_until = self._valid_until(sent_at)

    async def _hold_next_record(self, tenure: Tenure) -> None:
        """Hold the record of the store's next timeline as well.

        While its lease of the one before lasts no other node was the home
        there, so there is no break.
        """
        if self._state.timers.now() >= tenure.valid_until:
            raise LeaseLostError
        await self._records.read_again()
        claim = await self._claim(0)
        if claim is None:
            raise LeaseLostError
        if self._state.tenure is not tenure or tenure.resigned:
            # Handed over meanwhile: another may be the home by now.
            await self._store.revoke(claim.timeline, claim.lease)
            return
        go_on(self._state, claim, self._valid_until(claim.sent_at))

    async def _look(self) -> None:
        timeline = self._store.timeline
        item = await self._store.get(home_key(timeline))
        if self._store.timeline != timeline:
            # That was the record of an earlier timeline.
            self._state.look_now.set()
            return
        if item is None:
            await self._take_free_record()
            return
        await self._use_record(item)

    async def _take_free_record(self) -> None:
        state = self._state
        if state.draining_since is not None:
            return
        is_told = state.vacant_epoch and state.vacant_epoch == self._epoch()
        if is_told or self._is_its_turn():
            await self._try_to_hold(0)

    def _epoch(self) -> int:
        """Return the epoch of the home that is known, or 0."""
        return self._state.home.epoch if self._state.home else 0

    async def _use_record(self, item: StoredItem) -> None:
        state = self._state
        content = decode_record(item, HomeContent)
        if content is None:
            if self._has_waited(self._lease_seconds):
                await self._seize(item)
            return
        self._free_since = None
        is_vacant = item.revision == state.vacant_epoch
        is_free = is_vacant or self._was_this_node(content)
        if is_free and state.draining_since is None:
            await self._try_to_hold(item.revision)
        else:
            self._follow(item.revision, content)

    async def _seize(self, item: StoredItem) -> None:
        """Take over from a home whose record nobody can read.

        It may live on until its lease would have ended. Until then this node
        gives no units: two would give the same ones.
        """
        known = item.revision
        if item.lease:
            await self._store.revoke(self._store.timeline, item.lease)
            known = 0
        await self._try_to_hold(known, self._lease_seconds - LEASE_MARGIN)

    def _is_its_turn(self) -> bool:
        """Tell whether larger hosts have had time to become the home."""
        seconds = SMALL_HOST_SECONDS if is_small(self._state.cfg.host) else 0
        return self._has_waited(seconds)

    def _has_waited(self, seconds: float) -> bool:
        """Tell whether there has been no home for some seconds."""
        now = self._state.timers.now()
        if self._free_since is None:
            self._free_since = now
        return now - self._free_since >= seconds

    def _was_this_node(self, content: HomeContent) -> bool:
        """Tell whether an earlier run of this node holds the record.

        That run is over, so its record may be replaced at once.
        """
        is_same = content.node == self._state.cfg.node
        return is_same and content.incarnation != self._state.incarnation

    def _follow(self, epoch: int, content: HomeContent) -> None:
        home = name_home(content, epoch)
        self._state.follow_home(home, self._state.timers.now())

    async def _try_to_hold(self, known: int, gives_after: float = 0) -> None:
        """Write this node's record over one of revision ``known``.

        ``gives_after`` are the seconds after which it may give units.
        """
        state = self._state
        shared_levels = await self._records.spending.read()
        state.needs = await self._records.needs.read()
        await self._records.crashes.read()
        claim = await self._claim(known)
        if claim is None:
            state.look_now.set()
            return
        state.shared_levels = shared_levels
        gives_at = state.timers.now() + gives_after
        if claim.is_first_since_restore:
            # The store has forgotten the lease of a home that may act on.
            forgotten_at = self._valid_until(self._store.timeline_since)
            gives_at = max(gives_at, forgotten_at)
        valid_until = self._valid_until(claim.sent_at)
        begin_tenure(state, claim, valid_until, gives_at)

    async def _claim(self, known: int) -> Claim | None:
        return await claim_home(
            self._state,
            self._store,
            known,
            self._lease_seconds,
        )

    def _valid_until(self, sent_at: float) -> float:
        """Return until when a lease certainly lasts that was asked for."""
        return sent_at + self._lease_seconds - LEASE_MARGIN

    def _lay_down(self, reason: str) -> None:
        tenure = self._state.tenure
        if tenure is None or tenure.resigned:
            return
        logger.warning('This node is not the home any more: %s', reason)
        tenure.resign()
