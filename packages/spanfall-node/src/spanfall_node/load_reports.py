"""Read the load that engines report, for the baseline that routes by it."""

import logging

import anyio
import httpx
from spanfall_core.tables import Pool

from spanfall_node.context import Context
from spanfall_node.pools import PoolTable
from spanfall_node.upstream_calls import UpstreamCalls

logger = logging.getLogger(__name__)

#: Seconds between two readings; engines report with a lag (brief).
REPORT_SECONDS = 1.0


class LoadReports:
    """Keep ``reported_load`` of the upstreams of all pools."""

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        calls: UpstreamCalls,
    ) -> None:
        """Prepare to read for the pools of a home."""
        self._context = context
        self._pools = pools
        self._calls = calls

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            for pool in self._pools.all():
                await self._read_pool(pool)
            await anyio.sleep(REPORT_SECONDS)

    async def _read_pool(self, pool: Pool) -> None:
        for row in list(pool.upstreams.values()):
            try:
                load = await self._calls.read_load(row.address)
            except httpx.HTTPError as exc:
                logger.info('No load of %s: %r', row.upstream_id, exc)
            else:
                row.reported_load = load
