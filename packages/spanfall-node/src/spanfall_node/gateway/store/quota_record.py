"""Keep in the store what pressing workspaces spent, for the next home.

When all nodes are killed at once nobody else knows it. The record is written
while a workspace uses a quarter of its limit, a call a second at the usual
load, sooner where much is given out, and once more, empty, when none does any
longer.
"""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.limits import Tolerance
from spanfall_core.gateway.limits.fleet_spending import FleetSpending
from spanfall_core.gateway.limits.given_ahead import GivenAhead
from spanfall_core.gateway.limits.shared_levels import (
    SharedLevels,
    ToRecord,
)

from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import HOME_KEY

logger = logging.getLogger(__name__)

#: Key of the record.
SPENDING_KEY = 'spanfall/spending'
#: Seconds between two records, and between two looks at whether so much was
#: given out since the last one that it is written sooner. The home looks often:
#: it gives out no more than a tenth of a limit beyond the record.
RECORD_PERIOD = 1.0
LOOK_PERIOD = 0.25
HOME_LOOK_PERIOD = 0.03


class SpendingRecord(msgspec.Struct, frozen=True):
    """Hold spending by workspace and age in seconds.

    It has no time: clocks of hosts may jump, and a record of a workspace that
    presses no more is replaced, so what it holds was spent lately.
    """

    spent: dict[str, list[float]]


class QuotaRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the tables of the node and the store."""
        self._state = state
        self._store = store
        #: Whether the record in the store holds anything.
        self._holds_some = False
        #: Whether the store took the last one; else it is tried less often.
        self._is_answered = True
        self._written_at = float('-inf')

    async def read(self) -> SharedLevels:
        """Return the levels that a new home starts with.

        Raises:
            StoreError: the record cannot be read.
        """
        item = await self._store.get(SPENDING_KEY)
        bounds = self._state.cfg.bounds
        tolerance = Tolerance(bounds.quota_overage, bounds.quota_allowance)
        if item is None:
            self._holds_some = False
            return SharedLevels(tolerance, ahead=GivenAhead(keeps_records=True))
        try:
            record = msgspec.json.decode(item.content, type=SpendingRecord)
        except (ValueError, RecursionError):
            # The least that a new home takes as spent stands for it.
            logger.exception('The record of spending cannot be read')
            record = SpendingRecord({})
        self._holds_some = bool(record.spent)
        self._written_at = float('-inf')
        return SharedLevels(
            tolerance,
            FleetSpending(record.spent),
            GivenAhead(keeps_records=True),
        )

    async def run(self) -> None:
        """Write the record while it is needed, until cancelled."""
        is_home = False
        while True:
            await anyio.sleep(HOME_LOOK_PERIOD if is_home else LOOK_PERIOD)
            now = self._state.timers.now()
            is_home = self._state.is_home(now)
            if is_home:
                await self._write_if_due(now)

    async def _write_if_due(self, now: float) -> None:
        state = self._state
        limits = state.limits_at(now)
        is_due = state.shared_levels.ahead.is_due(limits)
        period = RECORD_PERIOD
        if is_due or not self._is_answered:
            period = 0 if self._is_answered else LOOK_PERIOD
        if now - self._written_at < period:
            return
        made = state.shared_levels.to_record(limits, now)
        if made.spent or self._holds_some:
            await self._write(made, now)

    async def _write(self, made: ToRecord, now: float) -> None:
        ahead = self._state.shared_levels.ahead
        content = msgspec.json.encode(SpendingRecord(made.spent))
        expected = {HOME_KEY: self._state.tenure.epoch}
        self._written_at = now
        try:
            await self._store.transact(
                expected,
                (Write(SPENDING_KEY, content),),
            )
        except StoreError as exc:
            logger.info('Could not record the spending: %r', exc)
            self._is_answered = False
            ahead.note_failed(self._state.timers.now())
            return
        self._is_answered = True
        self._holds_some = bool(made.spent)
        ahead.note_recorded(made.vouched, self._state.timers.now())
