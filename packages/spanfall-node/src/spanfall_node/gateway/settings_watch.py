"""Notice that the settings file has changed, with or without a signal."""

import logging
import signal
from pathlib import Path

import anyio
from spanfall_api.gateway_settings import (
    GatewaySettingsError,
    read_settings,
)

from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds between two looks at the file.
POLL_SECONDS = 2.0


class SettingsWatch:
    """Take over changed settings that need no restart."""

    def __init__(self, state: GatewayState, path: Path) -> None:
        """Watch the file that the settings were read from."""
        self._state = state
        self._path = path

    async def run(self) -> None:
        """Look at the file from time to time and at each SIGHUP."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reload_on_signal)
            while True:
                await anyio.sleep(POLL_SECONDS)
                self._reload()

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                logger.info('SIGHUP: reading the settings again')
                self._reload()

    def _reload(self) -> None:
        try:
            cfg = read_settings(self._path)
        except GatewaySettingsError as exc:
            logger.error('Kept the settings, the new ones are wrong: %s', exc)
            return
        if cfg == self._state.cfg:
            return
        logger.info('Took over changed settings')
        if cfg.listen != self._state.cfg.listen:
            logger.warning('New addresses to listen on need a restart')
        self._state.cfg = cfg
