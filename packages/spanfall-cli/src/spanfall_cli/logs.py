"""Explain requests from the logs of nodes."""

import json
import sys
from pathlib import Path

import click

from spanfall_cli.log_story import Story, UnknownRequestError, tell_story

EXIT_FAILED = 1

files_argument = click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)


@click.group('logs')
def logs_group() -> None:
    """Read the logs of nodes."""


@logs_group.command('explain')
@click.argument('request_id')
@files_argument
@click.option('--json', 'as_json', is_flag=True, help='Show JSON.')
def explain_from_logs(
    request_id: str,
    files: tuple[Path, ...],
    as_json: bool,
) -> None:
    """Tell what the logs in FILES say of one request, and how it ended."""
    try:
        story = tell_story(request_id, files)
    except UnknownRequestError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_FAILED)
    if as_json:
        click.echo(json.dumps(story.as_rows(), indent=2))
    else:
        _show(story)


def _show(story: Story) -> None:
    for line in story.lines:
        click.echo(
            f'{line.at:%H:%M:%S.%f} {line.node} {line.part}: {line.text}'
        )
    click.echo(f'End: {story.end}')
    if story.left_out:
        click.echo(f'Its nodes left out {story.left_out} lines meanwhile.')
    if story.unreadable:
        click.echo(f'{story.unreadable} lines were no log lines.')
