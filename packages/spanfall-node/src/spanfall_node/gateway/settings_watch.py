"""Reload the settings file when it changes or on SIGHUP."""

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

#: Seconds between two reads of the file.
POLL_SECONDS = 2.0


class SettingsWatch:
    """Apply changed settings that need no restart."""

    def __init__(self, state: GatewayState, path: Path) -> None:
        """Watch the file that the settings were read from."""
        self._state = state
        self._path = path

    async def run(self) -> None:
        """Read the file periodically and on each SIGHUP."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reload_on_signal)
            while True:
                await anyio.sleep(POLL_SECONDS)
                self._reload()

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                logger.info('Received SIGHUP: reloading the settings')
                self._reload()

    def _reload(self) -> None:
        try:
            cfg = read_settings(self._path)
        except GatewaySettingsError as exc:
            logger.error(
                'Invalid new settings, keeping the current ones: %s', exc
            )
            return
        if cfg == self._state.cfg:
            return
        logger.info('Applied changed settings')
        if cfg.listen != self._state.cfg.listen:
            logger.warning(
                'Changed listen addresses take effect only after a restart'
            )
        self._state.cfg = cfg
        self._state.scheduling.cfg = cfg.scheduling
