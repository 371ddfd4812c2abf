"""Record in the store since when services have one software version.

After a restart of all nodes it shows which streams can only have begun at a
version that still serves. A node that starts while there is no home finds here
whom to ask.
"""

import logging
from math import isinf

import anyio
import msgspec
from spanfall_core.gateway.known.version_history import (
    NEVER,
    RouteClaim,
    SoleVersion,
)

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
VERSIONS_KEY = 'spanfall/versions'
#: Seconds between two checks whether the record is outdated.
POLL_SECONDS = 0.25
#: Seconds between two reads while there is no record.
MISSING_PERIOD = 5.0
#: Seconds by which the clocks of two homes may differ.
CLOCK_MARGIN_SECONDS = 5.0


class SoleContent(msgspec.Struct, frozen=True):
    """Hold the only version of a service."""

    version: str
    #: Seconds since 1970; 0 if there was no other before.
    since: float


class VersionsContent(msgspec.Struct, frozen=True):
    """Hold what a home knows of the past; times are in seconds since 1970."""

    configuration_version: int = 0
    #: Time from which on changes of routes are known; 0 if all are.
    routes_since: float = 0
    #: Routes that have had other services, and until when.
    routes: dict[str, float] = {}
    services: dict[str, SoleContent] = {}
    #: Addresses of some nodes that know what began streams.
    keepers: tuple[str, ...] = ()


class VersionRecord:
    """Write and read the record."""

    def __init__(self, state: GatewayState, store: StoreClient) -> None:
        """Use the state and the store client of the node."""
        self._state = state
        self._store = store
        self._written: VersionsContent | None = None
        self._is_read = False

    async def read(self) -> None:
        """Adopt what earlier homes knew, unless the store may have lost it.

        Raises:
            StoreError: the record cannot be read.
        """
        self._written = None
        item = await self._store.get(VERSIONS_KEY)
        self._is_read = item is not None
        if item is None or self._store.was_restored:
            return
        content = decode_record(item, VersionsContent)
        if content is not None:
            self._adopt(content)

    async def run(self) -> None:
        """Read the record once; as the home, write it whenever it is outdated.

        A node that has just started may be asked to continue a stream before
        any node is the home. In a new fleet there is no record before the home
        has written it.
        """
        while not self._is_read and self._state.tenure is None:
            await self._try_read()
        while True:
            await anyio.sleep(POLL_SECONDS)
            state = self._state
            is_away = self._store.is_failing
            if state.is_home(state.timers.now()) and not is_away:
                await self._write_if_outdated()

    async def _try_read(self) -> None:
        """Read the record unless the store is known to be away."""
        wait = POLL_SECONDS
        if not self._store.is_failing:
            try:
                await self.read()
            except StoreError as exc:
                logger.info('Could not read the record of versions: %r', exc)
            else:
                wait = MISSING_PERIOD
        if not self._is_read:
            with anyio.move_on_after(wait):
                await self._state.home_changed.wait()

    async def _write_if_outdated(self) -> None:
        state = self._state
        if state.configuration is None or not state.directory.revision:
            return
        content = self._content()
        if content == self._written:
            return
        write = Write(VERSIONS_KEY, msgspec.json.encode(content))
        try:
            await self._store.write_as_home(state.tenure, write)
        except StoreError as exc:
            logger.info('Could not write the record of versions: %r', exc)
        else:
            self._written = content

    def _content(self) -> VersionsContent:
        state = self._state
        routes = state.streams.routes
        changed = routes.changed(state.timers.now())
        soles = state.directory.versions.sole_versions()
        return VersionsContent(
            state.version,
            self._stored(routes.known_since),
            {name: self._stored(since) for name, since in changed.items()},
            {
                service: SoleContent(row.version, self._stored(row.since))
                for service, row in soles.items()
            },
            state.streams.keepers,
        )

    def _adopt(self, content: VersionsContent) -> None:
        state = self._state
        if not state.streams.keepers:
            state.streams.keepers = content.keepers
        state.directory.versions.claim(
            {
                service: SoleVersion(row.version, self._known(row.since))
                for service, row in content.services.items()
            }
        )
        state.streams.routes.claim(
            RouteClaim(
                content.configuration_version,
                self._known(content.routes_since),
                {name: self._known(at) for name, at in content.routes.items()},
            )
        )

    def _stored(self, at: float) -> float:
        """Return a time of the steady clock as it is stored."""
        return 0 if isinf(at) else round(self._state.true_time.at(at))

    def _known(self, stored: float) -> float:
        """Return a stored time by the steady clock, not too early."""
        if not stored:
            return NEVER
        late = stored + CLOCK_MARGIN_SECONDS
        return late - self._state.true_time.at(0)
