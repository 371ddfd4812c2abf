"""Group the records that each home writes to the store for the next one."""

from dataclasses import dataclass

from spanfall_node.gateway.store.crash_record import CrashRecord
from spanfall_node.gateway.store.needs_record import NeedsRecord
from spanfall_node.gateway.store.quota_record import QuotaRecord
from spanfall_node.gateway.store.version_record import VersionRecord


@dataclass(frozen=True, slots=True)
class HomeRecords:
    """Hold the records of spending, needs, crashes and software versions."""

    spending: QuotaRecord
    needs: NeedsRecord
    crashes: CrashRecord
    versions: VersionRecord

    async def reload(self) -> None:
        """Read all records again, so that lost contents are rewritten.

        Raises:
            StoreError: a read failed.
        """
        await self.spending.read()
        await self.needs.read()
        await self.crashes.read()
        await self.versions.read()
