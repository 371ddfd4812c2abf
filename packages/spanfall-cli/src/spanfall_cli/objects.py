"""Read and change objects through the admin interface."""

from pathlib import Path
from typing import Any
from uuid import uuid4

import click
from spanfall_api.objects import KINDS
from spanfall_api.settings import SettingsError, load_document

from spanfall_cli.client import AdminClient, admin_command

kind_argument = click.argument('kind', type=click.Choice(list(KINDS)))
name_argument = click.argument('name')


@click.command('get')
@kind_argument
@click.argument('name', required=False)
@admin_command
def show_objects(client: AdminClient, kind: str, name: str | None) -> None:
    """Show one object, or all of a kind."""
    if name is not None:
        client.show(client.call('GET', f'{kind}/{name}').json())
        return
    rows = client.call('GET', kind).json()['objects']
    if client.output == 'json':
        client.show(rows)
        return
    shown = [
        {
            'name': row['object']['name'],
            'revision': row['revision'],
            'labels': format_labels(row['object']['labels']),
        }
        for row in rows
    ]
    client.show(shown, ('name', 'revision', 'labels'))


@click.command('apply')
@click.argument('path', type=click.Path(path_type=Path))
@click.option('--dry-run', is_flag=True, help='Check only; change nothing.')
@admin_command
def apply_objects(client: AdminClient, path: Path, dry_run: bool) -> None:
    """Put all objects of a file in one accepted revision."""
    try:
        rows = load_document(path)
    except SettingsError as exc:
        raise click.UsageError(str(exc)) from exc
    body = {
        'objects': rows,
        'dry_run': dry_run,
        'operation_id': uuid4().hex,
    }
    client.show(client.call('POST', 'apply', body).json())


@click.command('delete')
@kind_argument
@name_argument
@admin_command
def delete_object(client: AdminClient, kind: str, name: str) -> None:
    """Delete an object as it is now."""
    etag = client.call('GET', f'{kind}/{name}').headers['etag']
    reply = client.call('DELETE', f'{kind}/{name}', If_Match=etag)
    client.show(reply.json())


@click.command('label')
@kind_argument
@name_argument
@click.argument('changes', nargs=-1, required=True)
@admin_command
def label_object(
    client: AdminClient,
    kind: str,
    name: str,
    changes: tuple[str, ...],
) -> None:
    """Set labels by KEY=VALUE, or remove them by KEY-."""
    labels = dict(map(parse_label_change, changes))
    path = f'{kind}/{name}/labels'
    client.show(client.call('PATCH', path, {'labels': labels}).json())


@click.command('select')
@kind_argument
@click.argument('selector')
@admin_command
def select_objects(client: AdminClient, kind: str, selector: str) -> None:
    """Show which objects of a kind a selector matches."""
    body = {'kind': kind, 'selector': selector}
    found = client.call('POST', 'select', body).json()
    rows = [{'name': name} for name in found['names']]
    client.show(found if client.output == 'json' else rows, ('name',))


@click.command('explain')
@click.argument('workspace')
@click.argument('service')
@click.option('--method', default='POST', help='Method of the call.')
@click.option('--path', default='', help='Path of an application call.')
@admin_command
def explain_request(
    client: AdminClient,
    workspace: str,
    service: str,
    method: str,
    path: str,
) -> None:
    """Show where a request of a workspace would go, and why."""
    body = {
        'workspace': workspace,
        'name': service,
        'method': method,
        'path': path,
        'model': not path,
    }
    client.show(client.call('POST', 'explain', body).json())


@click.group('fleet')
def fleet_group() -> None:
    """Look at the nodes and stop them."""


@fleet_group.command('status')
@admin_command
def fleet_status(client: AdminClient) -> None:
    """Show the nodes and the revision in force."""
    found = client.call('GET', 'fleet').json()
    if client.output == 'json':
        client.show(found)
        return
    click.echo(f'revision {found["revision"]} at {found["node"]}')
    columns = ('node', 'data_centre', 'address', 'draining')
    client.show(found['members'], columns)


@fleet_group.command('drain')
@admin_command
def fleet_drain(client: AdminClient) -> None:
    """Begin a planned stop of the node whose admin port is named."""
    client.show(client.call('POST', 'drain').json())


def parse_label_change(text: str) -> tuple[str, str | None]:
    """Return key and value of a label change; no value removes it."""
    key, equals, label = text.partition('=')
    if equals:
        return key, label
    if text.endswith('-'):
        return text.removesuffix('-'), None
    raise click.BadParameter(f'{text} is neither KEY=VALUE nor KEY-')


def format_labels(labels: dict[str, Any]) -> str:
    """Return labels as one text."""
    return ','.join(f'{key}={text}' for key, text in sorted(labels.items()))


COMMANDS = (
    show_objects,
    apply_objects,
    delete_object,
    label_object,
    select_objects,
    explain_request,
    fleet_group,
)
