"""Update the operator's configuration from the store or the home."""

import logging

from spanfall_core.gateway.known.timelines import (
    REWRITE_SECONDS,
    revision_of,
    timeline_of,
)

from spanfall_node.gateway.net.ports import StoredItem
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


class ConfigurationSync:
    """Keep the current configuration up to date and confirm that it is."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        #: Revision of the item when it was last read; 0: not read yet.
        self._read_revision = 0
        #: Timeline on which a write of the operator was observed.
        self._written_timeline: int | None = None
        #: Last version read that is older than the current one.
        self._older_version: int | None = None

    async def read(self) -> None:
        """Read the configuration from the store.

        Raises:
            StoreError: the read failed.
            InvalidRecordError: the item is not a valid configuration.
        """
        state = self._state
        began_at = state.timers.now()
        item = await self._store.get(state.platform.store.configuration_key)
        if item is None:
            logger.info('The store contains no configuration yet')
            if state.configuration is None:
                # The absence of a configuration is confirmed as well, so
                # that the entries need not each read the store themselves.
                state.freshness.mark_confirmed(began_at)
            return
        version = state.version
        if not self._apply(item.content):
            return
        self._record_operator_write(item, is_newer=state.version > version)
        if self._is_complete(began_at):
            state.freshness.mark_confirmed(began_at)

    def apply_reported(self, source: bytes, confirmed_at: float) -> None:
        """Apply a configuration that was confirmed to be the newest.

        Raises:
            InvalidRecordError: the source is not a valid configuration.
        """
        if self._apply(source):
            self._state.freshness.mark_confirmed(confirmed_at)

    def _apply(self, source: bytes) -> bool:
        """Apply a configuration unless it is older; return False if it is.

        Only the operator's version number decides which one is newer: the
        store may have been restored from a backup with an older one.
        """
        state = self._state
        known = state.configuration
        if known is not None and source == state.configuration_source:
            return True
        read = state.platform.read_configuration(source)
        if known is not None and read.version < known.version:
            self._log_older(read.version, known.version)
            return False
        state.configuration = read
        state.streams.routes.apply(
            read.routes, read.version, state.timers.now()
        )
        state.scheduling.apply_configuration(read)
        state.configuration_source = source
        logger.info(
            'Applied configuration version %s (previous version: %s)',
            read.version,
            known.version if known else None,
        )
        return True

    def _log_older(self, version: int, known: int) -> None:
        if version != self._older_version:
            logger.warning(
                'Ignored configuration version %s: older than the current %s',
                version,
                known,
            )
        self._older_version = version

    def _record_operator_write(
        self,
        item: StoredItem,
        *,
        is_newer: bool,
    ) -> None:
        """Record the timeline if the operator has written the item on it."""
        number = revision_of(item.revision)
        before = revision_of(self._read_revision)
        if is_newer or before not in {0, number}:
            self._written_timeline = timeline_of(item.revision)
        self._read_revision = item.revision

    def _is_complete(self, began_at: float) -> bool:
        """Check whether the store holds the operator's latest version.

        A store restored from a backup may lack a version that no node has
        read, until the operator has written it again.
        """
        store = self._store
        if not store.was_restored or self._written_timeline == store.timeline:
            return True
        return began_at - store.timeline_since >= REWRITE_SECONDS
