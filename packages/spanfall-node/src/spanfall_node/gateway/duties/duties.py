"""Make the calls that one node makes for the whole fleet."""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.usage import WindowCounts

from spanfall_node.gateway.net.errors import CallError
from spanfall_node.gateway.net.pool import ConnectionPool, call_once
from spanfall_node.gateway.net.ports import HttpCall, Write
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure

logger = logging.getLogger(__name__)

#: Key of the record of the usage windows that were sent.
USAGE_KEY = 'spanfall/usage'
#: Seconds between two looks at what is due.
LOOK_PERIOD = 0.5
#: Seconds after the end of a window at which all entries have reported it.
SETTLE_SECONDS = 2.0
#: Seconds for one call to the cloud API.
CLOUD_SECONDS = 1.5
#: Windows that the record keeps, for a holder that must repeat one.
RECORDED_WINDOWS = 3
#: Windows before the one just sent whose counts are kept.
COUNTED_WINDOWS = 8


class UsageRecord(msgspec.Struct):
    """Hold the newest windows with the counts that were sent for them."""

    windows: WindowCounts
    #: Timeline of the store on which it was written.
    timeline: int = 0


class Cloud:
    """Call the cloud API, only while this node certainly is the home."""

    def __init__(self, state: GatewayState, pool: ConnectionPool) -> None:
        """Use the tables and the connections of the node."""
        self._state = state
        self._pool = pool

    def may_act(self) -> bool:
        """Tell whether this node may act for the fleet now.

        A new home waits as long as calls of the one before may arrive.
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
        """Make one call; return its status, or 0 where nobody knows."""
        state = self._state
        if not self.may_act():
            return 0
        try:
            reply = await call_once(
                self._pool,
                state.cfg.cloud,
                call,
                CLOUD_SECONDS,
            )
        except CallError as exc:
            state.counters.orders.labels(f'{name} failed').inc()
            logger.warning('The cloud did not answer %s: %s', name, exc.reason)
            return 0
        state.counters.orders.labels(f'{name} {reply.status}').inc()
        logger.info(
            'The cloud answered %s with %s: %s',
            name,
            reply.status,
            call.body.decode(),
        )
        return reply.status


class UsageDuty:
    """Report the runs of each window once, with one content.

    The counts are recorded in the store before they are sent, so that a
    holder that takes over repeats them instead of making new ones.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        cloud: Cloud,
    ) -> None:
        """Use the tables of the node, the store and the cloud."""
        self._state = state
        self._store = store
        self._cloud = cloud
        self._epoch = 0
        #: This node's last time as home in which it reported.
        self._tenure: Tenure | None = None
        self._revision = 0
        self._record = UsageRecord({})
        self._unsent: list[int] = []
        #: First window of a holder that does not know what was sent before:
        #: earlier ones may have been sent with other counts.
        self._first: int | None = None

    async def run(self) -> None:
        """Report what is due until cancelled."""
        while True:
            await anyio.sleep(LOOK_PERIOD)
            if not self._cloud.may_act():
                continue
            try:
                await self._step()
            except StoreError as exc:
                self._epoch = 0
                logger.info('Could not record the usage: %r', exc)

    async def _step(self) -> None:
        tenure = self._state.tenure
        if self._epoch != tenure.epoch:
            await self._take_over(tenure)
        for late in list(self._unsent):
            if not await self._send(late):
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
        self._first = first
        self._revision = 0 if item is None else item.revision
        self._unsent = sorted(record.windows)
        self._tenure = tenure
        self._epoch = tenure.epoch

    def _restored(
        self,
        record: UsageRecord | None,
        tenure: Tenure,
    ) -> tuple[UsageRecord, int | None]:
        """Return what was sent, and the first window that surely was not.

        Windows may have been sent whose record is lost.
        """
        next_due = self._due_window() + 1
        if record is None:
            return UsageRecord({}), next_due
        if self._knows_all():
            return UsageRecord(record.windows | self._record.windows), None
        none_reported = tenure.is_first and self._tenure is None
        return record, None if none_reported else next_due

    def _knows_all(self) -> bool:
        """Tell whether no other node can have sent any since this one did.

        A new home waits before it acts, and the store was restored sooner.
        """
        if self._tenure is None:
            return False
        waits = self._state.cfg.bounds.duty_lease_seconds
        return self._store.timeline_since < self._tenure.renewed_at + waits

    def _due_window(self) -> int:
        """Return the newest window whose counts are complete."""
        state = self._state
        true_time = state.true_time.at(state.timers.now())
        return state.usage.window_of(true_time - SETTLE_SECONDS) - 1

    def _next_window(self, due: int) -> int:
        """Return the first window that was not recorded yet."""
        first = self._first
        if self._record.windows:
            unrecorded = max(self._record.windows) + 1
            return unrecorded if first is None else max(unrecorded, first)
        if first is not None:
            return first
        state = self._state
        state.learn_report(state.own_report(), state.timers.now())
        known = [
            window
            for windows in state.fleet.usage.by_entry.values()
            for window in windows
        ]
        return min(known, default=due + 1)

    async def _record_window(self, window: int) -> None:
        state = self._state
        state.learn_report(state.own_report(), state.timers.now())
        windows = dict(self._record.windows)
        windows[window] = state.fleet.usage.total(window)
        kept = sorted(windows)[-RECORDED_WINDOWS:]
        record = UsageRecord(
            {key: windows[key] for key in kept},
            self._tenure.timeline,
        )
        self._revision = await self._store.write_as_home(
            self._tenure,
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
            state.fleet.usage.drop_before(window - COUNTED_WINDOWS)
            return True
        if 400 <= status < 500 and status != 429:
            logger.error('The cloud refused the usage of window %s', window)
            self._unsent.remove(window)
            return True
        return False
