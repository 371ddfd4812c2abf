"""Keep in the store what pressing workspaces spent, for the next home.

When all nodes are killed at once nobody else knows it. The record is written
while a workspace uses a quarter of its limit, a call a second at the usual
load, and once more, empty, when none does any longer.
"""

import logging

import anyio
import msgspec
from spanfall_core.gateway.known.limits import Tolerance
from spanfall_core.gateway.limits.fleet_spending import (
    RECORDED_PART,
    FleetSpending,
)
from spanfall_core.gateway.limits.shared_levels import QuotaAllocator

from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import StoreClient, StoreError
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Key of the record.
SPENDING_KEY = 'spanfall/spending'
#: Seconds between two records, and between two looks at whether a workspace
#: spent so much since the last one that it is written sooner: what is spent
#: after the last record is what may run twice once all nodes are killed.
RECORD_PERIOD = 1.0
LOOK_PERIOD = 0.25
#: Part of a limit that is so much: half of the part that platforms tolerate.
SOON_PART = 0.05


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
        #: What the record in the store holds; None: there is none.
        self._written: dict[str, float] | None = None
        self._written_at = float('-inf')

    async def read(self) -> QuotaAllocator:
        """Return the levels that a new home starts with.

        Raises:
            StoreError: the record cannot be read.
        """
        item = await self._store.get(SPENDING_KEY)
        bounds = self._state.cfg.bounds
        tolerance = Tolerance(bounds.quota_overage, bounds.quota_allowance)
        if item is None:
            self._written = None
            return QuotaAllocator(tolerance)
        record = decode_record(item, SpendingRecord)
        if record is None:
            # The least that a new home takes as spent stands for it.
            record = SpendingRecord({})
        self._written = _sums(record.spent)
        return QuotaAllocator(tolerance, FleetSpending(record.spent))

    async def run(self) -> None:
        """Write the record while it is needed, until cancelled."""
        while True:
            await anyio.sleep(LOOK_PERIOD)
            now = self._state.timers.now()
            if self._state.is_home(now):
                await self._write_if_due(now)

    async def _write_if_due(self, now: float) -> None:
        pressed = self._state.pressed(now)
        if not pressed and not self._written:
            return
        is_old = now - self._written_at >= RECORD_PERIOD
        if is_old or self._is_soon(_sums(pressed), now):
            await self._write(pressed, now)

    def _is_soon(self, sums: dict[str, float], now: float) -> bool:
        """Tell whether a workspace spent much since the last record."""
        limits = self._state.limits_at(now)
        written = self._written or {}
        known = {
            workspace: written.get(workspace, limit.total * RECORDED_PART)
            for workspace, limit in limits.items()
        }
        return any(
            units - known[workspace] > limits[workspace].total * SOON_PART
            for workspace, units in sums.items()
        )

    async def _write(self, pressed: dict[str, list[float]], now: float) -> None:
        record = SpendingRecord(pressed)
        write = Write(SPENDING_KEY, msgspec.json.encode(record))
        self._written_at = now
        try:
            await self._store.write_as_home(self._state.tenure, write)
        except StoreError as exc:
            logger.info('Could not record the spending: %r', exc)
            return
        self._written = _sums(pressed)


def _sums(spent: dict[str, list[float]]) -> dict[str, float]:
    return {workspace: sum(by_age) for workspace, by_age in spent.items()}
