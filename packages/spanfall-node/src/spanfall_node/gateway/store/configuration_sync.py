"""Learn the operator's configuration, from the store or the home."""

import logging

from spanfall_core.gateway.known.timelines import (
    REWRITE_SECONDS,
    revision_of,
    timeline_of,
)

from spanfall_node.gateway.net.ports import StoredItem
from spanfall_node.gateway.store.store_client import StoreClient
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)


class ConfigurationSync:
    """Keep the configuration in force up to date, and prove it so."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the tables and the store of the node."""
        self._state = state
        self._store = store
        #: Revision of the item as it was last read; 0: never.
        self._read_revision = 0
        #: Timeline of the store on which the operator was seen to write.
        self._written_on: int | None = None
        #: Version last read that is older than the one in force.
        self._older_version: int | None = None

    async def read(self) -> None:
        """Read the configuration from the store.

        Raises:
            StoreError: it cannot be read.
            InvalidRecordError: it is none.
        """
        state = self._state
        began_at = state.timers.now()
        item = await self._store.get(state.platform.store.configuration_key)
        if item is None:
            logger.info('The store holds no configuration yet')
            if state.configuration is None:
                # That there is none is known as well: entries that hear it
                # need not ask the store too, each on its own.
                state.freshness.mark_confirmed(began_at)
            return
        version = state.version
        if not self._take_over(item.content):
            return
        self._note_writing(item, is_newer=state.version > version)
        if self._is_complete(began_at):
            state.freshness.mark_confirmed(began_at)

    def learn(self, source: bytes, confirmed_at: float) -> None:
        """Take over a configuration that was proved the newest at a time.

        Raises:
            InvalidRecordError: it is none.
        """
        if self._take_over(source):
            self._state.freshness.mark_confirmed(confirmed_at)

    def _take_over(self, source: bytes) -> bool:
        """Use a configuration; tell whether its version is no older one.

        Only the operator's version tells which one is newer: the store may
        have been restored from a copy that holds an older one.
        """
        state = self._state
        known = state.configuration
        if known is not None and source == state.configuration_source:
            return True
        read = state.platform.read_configuration(source)
        if known is not None and read.version < known.version:
            self._note_older(read.version, known.version)
            return False
        state.configuration = read
        state.configuration_source = source
        logger.info(
            'Configuration %s is in force; it replaces %s',
            read.version,
            known.version if known else None,
        )
        return True

    def _note_older(self, version: int, known: int) -> None:
        if version != self._older_version:
            logger.warning(
                'Left out configuration %s, which is older than %s',
                version,
                known,
            )
        self._older_version = version

    def _note_writing(self, item: StoredItem, *, is_newer: bool) -> None:
        """Note the timeline if the operator has written the item on it."""
        number = revision_of(item.revision)
        before = revision_of(self._read_revision)
        if is_newer or before not in {0, number}:
            self._written_on = timeline_of(item.revision)
        self._read_revision = item.revision

    def _is_complete(self, began_at: float) -> bool:
        """Tell whether the store holds the operator's last version.

        A copy that it was restored from may lack one that no node has read,
        until the operator has written it again.
        """
        store = self._store
        if not store.was_restored or self._written_on == store.timeline:
            return True
        return began_at - store.timeline_since >= REWRITE_SECONDS
