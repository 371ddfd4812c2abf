"""Call the cloud API on behalf of the whole fleet."""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.usage import WindowCounts

from spanfall_node.gateway.net.errors import CallError
from spanfall_node.gateway.net.pool import ConnectionPool, call_once
from spanfall_node.gateway.net.ports import HttpCall, Write
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    StoreError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure

logger = logging.getLogger(__name__)

#: Store key of the record of the usage windows that were sent.
USAGE_KEY = 'spanfall/usage'
#: Seconds between two checks for windows that are due.
CHECK_PERIOD = 0.5
#: Seconds after the end of a window until all entries have reported it.
SETTLE_SECONDS = 2.0
#: Timeout of one call to the cloud API, in seconds.
CLOUD_TIMEOUT_SECONDS = 1.5
#: Windows kept in the record, for a home that has to resend one.
RECORDED_WINDOWS = 3
#: Windows before the last sent one whose counts are kept in memory.
RETAINED_WINDOWS = 8


class UsageRecord(msgspec.Struct):
    """Store the newest windows with the counts that were sent for them."""

    windows: WindowCounts
    #: Timeline of the store on which the record was written.
    timeline: int = 0


class CloudClient:
    """Call the cloud API, only while this node is certain to be the home."""

    def __init__(self, state: GatewayState, pool: ConnectionPool) -> None:
        """Use the state and the connection pool of the node."""
        self._state = state
        self._pool = pool

    def may_act(self) -> bool:
        """Tell whether this node may call the cloud for the fleet now.

        A new home waits until no call of its predecessor can still arrive.
        """
        state = self._state
        now = state.timers.now()
        if not state.is_home(now) or state.draining_since is not None:
            return False
        if state.tenure.is_first:
            return True
        waited = now - state.tenure.began_at
        return waited >= state.cfg.bounds.duty_lease_seconds

    async def call(self, name: str, call: HttpCall) -> int:
        """Make one call and return its status, or 0 if it is unknown."""
        state = self._state
        if not self.may_act():
            return 0
        try:
            reply = await call_once(
                self._pool,
                state.cfg.cloud,
                call,
                CLOUD_TIMEOUT_SECONDS,
            )
        except CallError as exc:
            state.counters.duty_calls.labels(f'{name} failed').inc()
            logger.warning('Cloud call %s failed: %s', name, exc.reason)
            return 0
        state.counters.duty_calls.labels(f'{name} {reply.status}').inc()
        logger.info(
            'Cloud call %s returned status %s: %s',
            name,
            reply.status,
            call.body.decode(),
        )
        return reply.status


class UsageReporter:
    """Report the usage of each window idempotently.

    The counts are recorded in the store before they are sent, so that a
    succeeding home resends the same counts instead of computing new ones.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        cloud: CloudClient,
    ) -> None:
        """Use the state of the node, the store and the cloud client."""
        self._state = state
        self._store = store
        self._cloud = cloud
        self._epoch = 0
        #: This node's last tenure in which it reported.
        self._reporting_tenure: Tenure | None = None
        self._revision = 0
        self._record = UsageRecord({})
        self._unsent: list[int] = []
        #: First window to report, if it is unknown which were sent before:
        #: earlier ones may have been sent with other counts.
        self._first_window: int | None = None

    async def run(self) -> None:
        """Report the windows that are due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD)
            if not self._cloud.may_act():
                continue
            try:
                await self._step()
            except StoreError as exc:
                self._epoch = 0
                logger.info(
                    'Could not access the usage record in the store: %r',
                    exc,
                )

    async def _step(self) -> None:
        tenure = self._state.tenure
        if self._epoch != tenure.epoch:
            await self._take_over(tenure)
        for unsent in list(self._unsent):
            if not await self._send(unsent):
                return
        due = self._due_window()
        window = self._next_window(due)
        while window <= due:
            await self._record_window(window)
            sent = await self._send(window)
            if not sent:
                return
            window += 1

    async def _take_over(self, tenure: Tenure) -> None:
        item = await self._store.get(USAGE_KEY)
        record: UsageRecord | None = UsageRecord({})
        if item is not None:
            record = decode_record(item, UsageRecord)
        first = None
        if record is None or record.timeline != tenure.timeline:
            record, first = self._restored(record, tenure)
        self._record = record
        self._first_window = first
        self._revision = 0 if item is None else item.revision
        self._unsent = sorted(record.windows)
        self._reporting_tenure = tenure
        self._epoch = tenure.epoch

    def _restored(
        self,
        record: UsageRecord | None,
        tenure: Tenure,
    ) -> tuple[UsageRecord, int | None]:
        """Return the sent windows and the first that was certainly not sent.

        A restore of the store may have lost records of sent windows.
        """
        next_due = self._due_window() + 1
        if record is None:
            return UsageRecord({}), next_due
        if self._has_complete_record():
            return UsageRecord(record.windows | self._record.windows), None
        none_reported = tenure.is_first and self._reporting_tenure is None
        return record, None if none_reported else next_due

    def _has_complete_record(self) -> bool:
        """Tell whether no other node can have sent windows since this one.

        A new home waits for the duty lease before it calls the cloud, and the
        store was restored before that time had passed.
        """
        if self._reporting_tenure is None:
            return False
        wait_seconds = self._state.cfg.bounds.duty_lease_seconds
        return (
            self._store.timeline_since
            < self._reporting_tenure.renewed_at + wait_seconds
        )

    def _due_window(self) -> int:
        """Return the newest window whose counts are complete."""
        state = self._state
        true_time = state.true_time.at(state.timers.now())
        return state.usage.window_of(true_time - SETTLE_SECONDS) - 1

    def _next_window(self, due: int) -> int:
        """Return the first window that is not recorded yet."""
        first = self._first_window
        if self._record.windows:
            unrecorded = max(self._record.windows) + 1
            return unrecorded if first is None else max(unrecorded, first)
        if first is not None:
            return first
        state = self._state
        state.apply_report(state.own_report(), state.timers.now())
        reported = [
            window
            for windows in state.fleet.usage.by_entry.values()
            for window in windows
        ]
        return min(reported, default=due + 1)

    async def _record_window(self, window: int) -> None:
        state = self._state
        state.apply_report(state.own_report(), state.timers.now())
        windows = dict(self._record.windows)
        windows[window] = state.fleet.usage.total(window)
        kept = sorted(windows)[-RECORDED_WINDOWS:]
        record = UsageRecord(
            {key: windows[key] for key in kept},
            self._reporting_tenure.timeline,
        )
        self._revision = await self._store.write_as_home(
            self._reporting_tenure,
            Write(USAGE_KEY, msgspec.json.encode(record)),
            self._revision,
        )
        self._record = record
        self._unsent.append(window)

    async def _send(self, window: int) -> bool:
        state = self._state
        call = state.platform.cloud.report_usage(
            state.cfg.node,
            self._epoch,
            window,
            self._record.windows.get(window, {}),
        )
        status = await self._cloud.call('usage', call)
        if status == 200:
            self._unsent.remove(window)
            state.fleet.usage.drop_before(window - RETAINED_WINDOWS)
            return True
        if 400 <= status < 500 and status != 429:
            logger.error(
                'The cloud refused the usage report of window %s',
                window,
            )
            self._unsent.remove(window)
            return True
        return False
