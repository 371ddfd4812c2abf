"""Decode the entries that upstreams and others write into the store."""

import logging

from spanfall_core.gateway.known.listed import ListedUpstream, UnusableRecord

from spanfall_node.gateway.net.ports import StoredItem
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


class UpstreamEntries:
    """Decode listings, and log each unusable entry once per change of it."""

    def __init__(self, state: GatewayState) -> None:
        """Use the adapter and the counters of the node."""
        self._state = state
        #: Revision of each unusable entry, by upstream.
        self._unusable: dict[str, int] = {}

    def read(
        self, items: tuple[StoredItem, ...]
    ) -> tuple[list[ListedUpstream], set[str]]:
        """Return the listed upstreams and the ids of those with invalid entries."""
        rows: list[ListedUpstream] = []
        unusable: dict[str, int] = {}
        for item in items:
            entry = self._state.platform.read_upstream(item)
            if isinstance(entry, UnusableRecord):
                unusable[entry.upstream_id] = item.revision
                self._report_unusable(entry, item.revision)
            else:
                rows.append(entry)
        self._unusable = unusable
        return rows, set(unusable)

    def _report_unusable(self, entry: UnusableRecord, revision: int) -> None:
        if self._unusable.get(entry.upstream_id) == revision:
            return
        self._state.counters.listing.unusable_entries.inc()
        logger.warning(
            'Unusable entry of upstream %s, revision %s: %s',
            entry.upstream_id,
            revision,
            entry.reason,
        )
