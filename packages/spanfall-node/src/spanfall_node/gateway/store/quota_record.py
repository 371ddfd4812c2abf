"""Record the spending of workspaces with high usage, for the next home.

When all nodes are killed at once, only the store still has it. The record is
written while any workspace uses at least a quarter of its limit, about one
call per second under usual load, and once more, empty, when none does.
"""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.limits import Tolerance
from spanfall_core.gateway.limits.fleet_spending import (
    RECORDED_PART,
    FleetSpending,
)
from spanfall_core.gateway.limits.quota_allocator import QuotaAllocator

from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    StoreError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Key of the record in the store.
SPENDING_KEY = 'spanfall/spending'
#: Seconds between two writes of the record, and between two checks whether a
#: workspace has spent enough since then for an earlier write. Units spent
#: after the last write may be spent again when all nodes are killed.
RECORD_PERIOD = 1.0
POLL_SECONDS = 0.25
#: Fraction of a limit whose spending triggers an earlier write: half of the
#: overage that platforms tolerate.
EARLY_WRITE_FRACTION = 0.05


class SpendingRecord(msgspec.Struct, frozen=True):
    """Hold spending by workspace and age in seconds.

    It contains no timestamp, since the clocks of hosts may jump. It is
    replaced when a workspace drops below the threshold, so its contents are
    always recent.
    """

    spent: dict[str, list[float]]


class QuotaRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        #: Sums in the stored record, by workspace; None: no record exists.
        self._written: dict[str, float] | None = None
        self._written_at = float('-inf')

    async def read(self) -> QuotaAllocator:
        """Return the quota levels that a new home starts with.

        Raises:
            StoreError: the read failed.
        """
        item = await self._store.get(SPENDING_KEY)
        bounds = self._state.cfg.bounds
        tolerance = Tolerance(bounds.quota_overage, bounds.quota_allowance)
        if item is None:
            self._written = None
            return QuotaAllocator(tolerance)
        record = decode_record(item, SpendingRecord)
        if record is None:
            # Instead of the record, the new home assumes the minimum spending.
            record = SpendingRecord({})
        self._written = _sums(record.spent)
        return QuotaAllocator(tolerance, FleetSpending(record.spent))

    async def run(self) -> None:
        """Write the record whenever it is due, until cancelled."""
        while True:
            await anyio.sleep(POLL_SECONDS)
            now = self._state.timers.now()
            if self._state.is_home(now):
                await self._write_if_due(now)

    async def _write_if_due(self, now: float) -> None:
        to_record = self._state.spending_to_record(now)
        if not to_record and not self._written:
            return
        is_due = now - self._written_at >= RECORD_PERIOD
        if is_due or self._is_early_due(_sums(to_record), now):
            await self._write(to_record, now)

    def _is_early_due(self, sums: dict[str, float], now: float) -> bool:
        """Check whether a workspace spent much since the last write."""
        limits = self._state.limits_at(now)
        written = self._written or {}
        recorded = {
            workspace: written.get(workspace, limit.total * RECORDED_PART)
            for workspace, limit in limits.items()
        }
        return any(
            units - recorded[workspace]
            > limits[workspace].total * EARLY_WRITE_FRACTION
            for workspace, units in sums.items()
        )

    async def _write(
        self,
        to_record: dict[str, list[float]],
        now: float,
    ) -> None:
        record = SpendingRecord(to_record)
        write = Write(SPENDING_KEY, msgspec.json.encode(record))
        self._written_at = now
        try:
            await self._store.write_as_home(self._state.tenure, write)
        except StoreError as exc:
            logger.info('Could not write the record of spending: %r', exc)
            return
        self._written = _sums(to_record)


def _sums(spent: dict[str, list[float]]) -> dict[str, float]:
    return {workspace: sum(by_age) for workspace, by_age in spent.items()}
