"""Call the admin interface of a node for the command line."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from typing import Any

import click
import httpx

EXIT_FAILED = 1
TIMEOUT = 30
_ERROR = 400

Command = Callable[..., None]


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Hold where the admin interface is and the token to use."""

    address: str
    token: str
    output: str

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        **headers: str,
    ) -> httpx.Response:
        """Call the interface; on a refusal print it and exit."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        named['Authorization'] = f'Bearer {self.token}'
        try:
            reply = httpx.request(
                method,
                f'{self.address}/admin/v1/{path}',
                headers=named,
                json=body,
                timeout=TIMEOUT,
                trust_env=False,
            )
        except httpx.HTTPError as exc:
            click.echo(f'{self.address} does not answer: {exc}', err=True)
            sys.exit(EXIT_FAILED)
        if reply.status_code >= _ERROR:
            click.echo(reply.text, err=True)
            sys.exit(EXIT_FAILED)
        return reply

    def show(self, document: Any, columns: tuple[str, ...] = ()) -> None:
        """Print a document as JSON, or its rows as a table."""
        if self.output == 'json' or not columns:
            click.echo(json.dumps(document, indent=2))
            return
        click.echo(format_table(document, columns))


def format_table(rows: list[Any], columns: tuple[str, ...]) -> str:
    """Return rows as text in aligned columns."""
    cells = [columns] + [
        tuple(str(row.get(name, '')) for name in columns) for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def admin_command(command: Command) -> Command:
    """Give a command the options that name an admin interface."""

    @click.option(
        '--admin',
        envvar='SPANFALL_ADMIN',
        required=True,
        help='Address of an admin port, as http://HOST:PORT.',
    )
    @click.option(
        '--token',
        envvar='SPANFALL_TOKEN',
        required=True,
        help='Bearer token of an operator.',
    )
    @click.option(
        '--output',
        type=click.Choice(['text', 'json']),
        default='text',
        help='Form of the result.',
    )
    @wraps(command)
    def wrapped(admin: str, token: str, output: str, **rest: Any) -> None:
        client = AdminClient(admin.rstrip('/'), token, output)
        command(client, **rest)

    return wrapped
