"""Run ``spanfall``: parse arguments and run one command.

Exit codes: 0 done, 1 failed, 2 usage or settings, 3 a promise was broken.
"""

import sys
from pathlib import Path

import anyio
import click
from spanfall_api.settings import (
    Logging,
    SettingsError,
    read_settings,
)
from spanfall_node.log import set_up_logging

from spanfall_cli.demo import run_demo, show_steps
from spanfall_cli.objects import COMMANDS

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_BROKEN = 3

output_option = click.option(
    '--output',
    type=click.Choice(['text', 'json']),
    default='text',
    help='Form of the result.',
)


@click.group(commands=COMMANDS)
@click.version_option(package_name='spanfall-cli')
def main() -> None:
    """Operate spanfall: settings, objects, fleet, traces and bench."""


@main.command()
@output_option
def demo(output: str) -> None:
    """Serve a chat and a job sheet through a whole fleet in one process."""
    set_up_logging(Logging(level='ERROR', format='text'))
    steps = anyio.run(run_demo)
    show_steps(steps, output)
    if not all(step.kept for step in steps):
        sys.exit(EXIT_BROKEN)


@main.group()
def settings() -> None:
    """Check and show settings files."""


@settings.command('check')
@click.argument('path', type=click.Path(path_type=Path))
def check_settings(path: Path) -> None:
    """Report every fault of a node's settings file."""
    try:
        read_settings(path)
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_USAGE)
    click.echo(f'{path}: no faults')


@settings.command('show')
@click.argument('path', type=click.Path(path_type=Path))
def show_settings(path: Path) -> None:
    """Show the settings in force, with all defaults."""
    try:
        cfg = read_settings(path)
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_USAGE)
    click.echo(cfg.model_dump_json(indent=2))
