"""Hold the records that each home leaves in the store for the next."""

from dataclasses import dataclass

from spanfall_node.gateway.store.crash_record import CrashRecord
from spanfall_node.gateway.store.needs_record import NeedsRecord
from spanfall_node.gateway.store.quota_record import QuotaRecord


@dataclass(frozen=True, slots=True)
class HomeRecords:
    """Hold what was spent and is needed, and what ends upstreams."""

    spending: QuotaRecord
    needs: NeedsRecord
    crashes: CrashRecord

    async def reload(self) -> None:
        """Learn what the store holds, to write anew what it has lost.

        Raises:
            StoreError: a record cannot be read.
        """
        await self.spending.read()
        await self.needs.read()
        await self.crashes.read()
