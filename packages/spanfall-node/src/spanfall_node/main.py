"""Run ``spanfall-node``: parse arguments, read settings, run the node."""

import signal
import sys
from pathlib import Path

import anyio
import click
from spanfall_api.settings import NodeSettings, SettingsError, read_settings

from spanfall_node.log import set_up_logging
from spanfall_node.node import Node
from spanfall_node.steady_clock import SteadyLoop

EXIT_SETTINGS = 2


async def run_node(cfg: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, which begin a planned stop."""
    node = Node(cfg)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_on_signal, node, tasks.cancel_scope)
        await node.run()
        tasks.cancel_scope.cancel()


async def stop_on_signal(node: Node, scope: anyio.CancelScope) -> None:
    """Begin a planned stop at the first signal, stop at once at the third."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        count = 0
        async for _ in signals:
            count += 1
            node.stop()
            if count > 2:
                scope.cancel()


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='Settings of this node: JSON with comments.',
)
def main(path: Path) -> None:
    """Run one node of spanfall in the foreground."""
    try:
        cfg = read_settings(path)
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_SETTINGS)
    set_up_logging(cfg.logging)
    options = {'loop_factory': SteadyLoop}
    anyio.run(run_node, cfg, backend_options=options)
