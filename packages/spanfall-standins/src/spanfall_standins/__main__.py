"""Run stand-ins: ``python -m spanfall_standins --settings FILE``."""

import sys
import time
from pathlib import Path

import anyio
import click
from spanfall_api.settings import Logging, SettingsError
from spanfall_node.embedded import EmbeddedKeyValue
from spanfall_node.log import set_up_logging

from spanfall_standins.application import Application
from spanfall_standins.engine import Engine
from spanfall_standins.keyvalue import KeyValueServer
from spanfall_standins.servers import serve_app
from spanfall_standins.settings import (
    StandinSettings,
    read_standin_settings,
)

EXIT_SETTINGS = 2


async def run_standins(cfg: StandinSettings) -> None:
    """Serve all stand-ins until cancelled."""
    async with anyio.create_task_group() as tasks:
        if cfg.store_port is not None:
            server = KeyValueServer(EmbeddedKeyValue(time.monotonic))
            tasks.start_soon(serve_app, server.build_app(), cfg.store_port)
        for row in cfg.engines:
            engine = Engine(row.name, row.speed)
            tasks.start_soon(serve_app, engine.build_app(), row.port)
        for worker in cfg.applications:
            app = Application(worker.name, worker.speed)
            tasks.start_soon(serve_app, app.build_app(), worker.port)


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='Settings of the stand-ins: JSON with comments.',
)
def main(path: Path) -> None:
    """Run stand-ins in the foreground."""
    try:
        cfg = read_standin_settings(path)
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_SETTINGS)
    set_up_logging(Logging(format='text', level='WARNING'))
    anyio.run(run_standins, cfg)


if __name__ == '__main__':
    main()
