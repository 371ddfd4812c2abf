"""Elect the home of the fleet: the holder of one leased record.

The revision of the record is the home's epoch and the fencing token of its
calls. A holder acts only while its lease is certain to be valid, counted from
before the renewal was sent. A store that was restored from a backup has lost
the record and the lease, so each timeline has a record of its own.
"""

import logging

import anyio
from spanfall_api.gateway_settings import HOME_LEASE_SECONDS
from spanfall_core.gateway.known.reporting import (
    load_expires_after,
    report_period,
)

from spanfall_node.gateway.home.claiming import Claim, claim_home
from spanfall_node.gateway.home.free_record import FreeRecord
from spanfall_node.gateway.home.home_content import (
    HomeContent,
    make_home_record,
)
from spanfall_node.gateway.home.home_pace import (
    LOOKUP_PERIOD,
    MAX_OUTAGE_LOOKUPS_PER_SECOND,
    OUTAGE_LOOKUP_PERIOD,
    lookup_period,
)
from spanfall_node.gateway.home.new_tenure import begin_tenure, continue_tenure
from spanfall_node.gateway.net.ports import StoredItem
from spanfall_node.gateway.store.home_records import HomeRecords
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    LeaseLostError,
    StoreError,
    StoreRestoredError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.store.sync import max_confirmation_age
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure, home_key

logger = logging.getLogger(__name__)

#: Seconds before the end of the lease at which its holder stops acting.
LEASE_MARGIN = 0.5
#: Seconds between two renewals of the lease.
RENEW_PERIOD = 0.5
#: Timeout of a renewal in seconds. It is short so that a home that cannot
#: reach the store hands over while its lease is still valid.
RENEW_TIMEOUT_SECONDS = 0.3
#: Seconds since the last renewal after which a failed renewal means that the
#: home is cut off from the store. A single lost answer does not.
CUT_OFF_SECONDS = 0.85
#: Seconds until the next renewal after a failed one.
RETRY_PERIOD = 0.1


class Leadership:
    """Look up the home, or become it if there is none."""

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        records: HomeRecords,
    ) -> None:
        """Use the state of the node, the store and the records of homes."""
        self._state = state
        self._store = store
        self._records = records
        self._free_record = FreeRecord(state)

    async def run(self) -> None:
        """Follow or hold the home record until cancelled."""
        while True:
            try:
                await self._step()
            except LeaseLostError:
                self._step_down('its lease has expired')
                self._state.lookup_requested.set()
            except StoreError as exc:
                logger.info('Could not look up the home: %r', exc)
            await self._wait(self._check_interval())

    async def _wait(self, seconds: float) -> None:
        """Wait for some seconds, or until a lookup is requested."""
        state = self._state
        with anyio.move_on_after(seconds):
            await state.lookup_requested.wait()
        if state.lookup_requested.is_set():
            state.lookup_requested = anyio.Event()

    async def resign(self) -> None:
        """Release the record, so that another node takes over at once.

        This node keeps answering the entries until there is another home.
        """
        tenure = self._state.tenure
        if tenure is None:
            return
        self._step_down('this node is stopping')
        try:
            await self._store.revoke(tenure.timeline, tenure.lease)
        except StoreError as exc:
            logger.info('Could not revoke the lease of the home: %r', exc)

    @property
    def _lease_seconds(self) -> float:
        return self._state.cfg.home_lease_seconds

    def _check_interval(self) -> float:
        tenure = self._state.tenure
        if tenure is not None and not tenure.resigned:
            return RETRY_PERIOD if self._store.is_failing else RENEW_PERIOD
        entries = self._state.quotas.entries
        if self._store.is_failing:
            return lookup_period(
                OUTAGE_LOOKUP_PERIOD, entries, MAX_OUTAGE_LOOKUPS_PER_SECOND
            )
        return lookup_period(LOOKUP_PERIOD, entries)

    async def _step(self) -> None:
        state = self._state
        tenure = state.tenure
        if tenure is not None and not tenure.resigned:
            await self._renew(tenure)
        elif state.home is None or self._is_home_suspect():
            await self._look_up_home()
            return
        self._free_record.reset()

    def _is_home_suspect(self) -> bool:
        """Tell whether the home is silent, has resigned or lost the store."""
        state = self._state
        if state.home_resigned or state.tenure is not None:
            return True
        now = state.timers.now()
        entries = state.quotas.entries
        silence = max(
            HOME_LEASE_SECONDS, load_expires_after(report_period(entries))
        )
        if now - state.home_answered_at > silence:
            return True
        age = max(HOME_LEASE_SECONDS, max_confirmation_age(entries))
        return state.freshness.age(now) > age

    async def _renew(self, tenure: Tenure) -> None:
        sent_at = self._state.timers.now()
        try:
            await self._store.renew(
                tenure.timeline,
                tenure.lease,
                RENEW_TIMEOUT_SECONDS,
            )
        except StoreRestoredError:
            if tenure.timeline < self._store.timeline:
                await self._claim_on_new_timeline(tenure)
            return
        except StoreError:
            now = self._state.timers.now()
            tenure.failed_at = sent_at
            tenure.is_renewal_failing = (
                now - tenure.renewed_at > CUT_OFF_SECONDS
            )
            raise
        if tenure.resigned:
            # The home was handed over during the renewal, so the renewed
            # lease must not extend the tenure.
            return
        tenure.is_renewal_failing = False
        tenure.renewed_at = sent_at
        tenure.valid_until = self._valid_until(sent_at)

    async def _claim_on_new_timeline(self, tenure: Tenure) -> None:
        """Claim the record of the store's next timeline during the tenure.

        While the lease on the previous timeline is valid no other node can
        have become the home there, so the tenure continues without a gap.
        """
        if self._state.timers.now() >= tenure.valid_until:
            raise LeaseLostError
        await self._records.reload()
        claim = await self._claim(0)
        if claim is None:
            raise LeaseLostError
        if self._state.tenure is not tenure or tenure.resigned:
            # The home was handed over meanwhile, so another node may hold it.
            await self._store.revoke(claim.timeline, claim.lease)
            return
        continue_tenure(self._state, claim, self._valid_until(claim.sent_at))

    async def _look_up_home(self) -> None:
        timeline = self._store.timeline
        item = await self._store.get(home_key(timeline))
        if self._store.timeline != timeline:
            # The record was read from an earlier timeline.
            self._state.lookup_requested.set()
            return
        if item is None:
            await self._claim_free_record()
            return
        await self._handle_record(item)

    async def _claim_free_record(self) -> None:
        state = self._state
        if state.draining_since is not None:
            return
        epoch = state.home.epoch if state.home else 0
        is_reported_vacant = state.vacant_epoch and state.vacant_epoch == epoch
        if is_reported_vacant or self._free_record.may_claim():
            await self._try_to_become_home(0)

    async def _handle_record(self, item: StoredItem) -> None:
        state = self._state
        content = decode_record(item, HomeContent)
        if content is None:
            if self._free_record.has_been_free_for(self._lease_seconds):
                await self._replace_unreadable_record(item)
            return
        self._free_record.reset()
        is_vacant = item.revision == state.vacant_epoch
        is_free = is_vacant or self._is_from_earlier_run(content)
        if is_free and state.draining_since is None:
            await self._try_to_become_home(item.revision)
        else:
            self._follow(item.revision, content)

    async def _replace_unreadable_record(self, item: StoredItem) -> None:
        """Take over from a home whose record cannot be decoded.

        That home may act until its lease would have expired. Until then this
        node allocates no units, since both would allocate the same ones.
        """
        known_revision = item.revision
        if item.lease:
            await self._store.revoke(self._store.timeline, item.lease)
            known_revision = 0
        await self._try_to_become_home(
            known_revision, self._lease_seconds - LEASE_MARGIN
        )

    def _is_from_earlier_run(self, content: HomeContent) -> bool:
        """Tell whether an earlier, ended run of this node wrote the record."""
        is_same = content.node == self._state.cfg.node
        return is_same and content.incarnation != self._state.incarnation

    def _follow(self, epoch: int, content: HomeContent) -> None:
        home = make_home_record(content, epoch)
        self._state.follow_home(home, self._state.timers.now())

    async def _try_to_become_home(
        self, known_revision: int, allocation_delay: float = 0
    ) -> None:
        """Replace the record of revision ``known_revision`` by this node's.

        ``allocation_delay`` is the time in seconds before this node may
        allocate units.
        """
        state = self._state
        quota_allocator = await self._records.spending.read()
        known = await self._records.needs.read()
        state.needs = known.needs
        state.reclaims = known.reclaims
        await self._records.crashes.read()
        await self._records.versions.read()
        claim = await self._claim(known_revision)
        if claim is None:
            state.lookup_requested.set()
            return
        state.quota_allocator = quota_allocator
        gives_at = state.timers.now() + allocation_delay
        if claim.is_first_since_restore:
            # The restored store has lost the lease of a home that may still
            # act until that lease would have expired.
            forgotten_at = self._valid_until(self._store.timeline_since)
            gives_at = max(gives_at, forgotten_at)
        valid_until = self._valid_until(claim.sent_at)
        begin_tenure(state, claim, valid_until, gives_at)

    async def _claim(self, known_revision: int) -> Claim | None:
        return await claim_home(
            self._state, self._store, known_revision, self._lease_seconds
        )

    def _valid_until(self, sent_at: float) -> float:
        """Return until when a lease requested at a time is certainly valid."""
        return sent_at + self._lease_seconds - LEASE_MARGIN

    def _step_down(self, reason: str) -> None:
        tenure = self._state.tenure
        if tenure is None or tenure.resigned:
            return
        logger.warning('This node is no longer the home: %s', reason)
        tenure.resign()
