"""Run ``spanfall``: parse arguments and run one command.

Exit codes: 0 done, 1 failed, 2 usage or settings, 3 a promise was broken.
"""

import json
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
from spanfall_cli.generator import make_trace, plans
from spanfall_cli.logs import logs_group
from spanfall_cli.objects import COMMANDS
from spanfall_cli.reference import write_reference
from spanfall_cli.replay import run_replay
from spanfall_cli.replay_report import Report
from spanfall_cli.traces import read_trace, write_trace

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


main.add_command(logs_group)


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
def trace() -> None:
    """Record and replay traces."""


@trace.command('record')
@click.argument('name', type=click.Choice(list(plans())))
@click.argument('folder', type=click.Path(path_type=Path))
@click.option('--seed', default=1, help='Seed of the generator.')
def record_trace(name: str, folder: Path, seed: int) -> None:
    """Make one of the known traces from a seed."""
    write_trace(folder, make_trace(plans()[name], seed))
    click.echo(f'{folder}: written')


@trace.command('replay')
@click.argument('folder', type=click.Path(path_type=Path))
@click.option(
    '--off',
    multiple=True,
    help='Switch a mechanism off, to see the checks fail.',
)
@click.option(
    '--policy',
    type=click.Choice(['score', 'least-reported', 'round-robin']),
    default='score',
    help='How homes choose upstreams.',
)
@output_option
def replay_trace(
    folder: Path,
    off: tuple[str, ...],
    policy: str,
    output: str,
) -> None:
    """Replay a trace over stand-ins and check each promise."""
    set_up_logging(Logging(level='ERROR', format='text'))
    try:
        recorded = read_trace(folder)
    except SettingsError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_USAGE)
    report = anyio.run(run_replay, recorded, off, policy)
    show_report(report, output)
    if not report.kept():
        sys.exit(EXIT_BROKEN)


def show_report(report: Report, output: str) -> None:
    """Print a replay's report as text or JSON."""
    document = report.document()
    if output == 'json':
        click.echo(json.dumps(document, indent=2))
        return
    for name, row in document['promises'].items():
        click.echo(f'{name}: checked {row["checked"]}, broken {row["broken"]}')
        for example in row['examples']:
            click.echo(f'  {example}')
    click.echo(f'stated outcomes kept: {report.stated}')
    for name, figure in document['figures'].items():
        click.echo(f'{name}: {figure}')


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


@settings.command('reference')
def show_reference() -> None:
    """Print the reference of all settings as Markdown."""
    click.echo(write_reference(), nl=False)


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
