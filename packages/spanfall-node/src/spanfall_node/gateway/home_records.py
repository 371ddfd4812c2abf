"""Hold the records that each home leaves in the store for the next."""

from dataclasses import dataclass

from spanfall_node.gateway.needs_record import NeedsRecord
from spanfall_node.gateway.quota_record import QuotaRecord


@dataclass(frozen=True, slots=True)
class HomeRecords:
    """Hold what workspaces spent and what services need."""

    spending: QuotaRecord
    needs: NeedsRecord
