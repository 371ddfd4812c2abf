"""Parse the arguments of ``spanfall-node gateway`` and run the gateway."""

import sys
from pathlib import Path

import click
from spanfall_api.gateway_settings import GatewaySettingsError, read_settings

from spanfall_node.gateway.program import run_gateway

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=Path),
    help='Settings of this gateway: JSON with comments.',
)
@click.option('--check', is_flag=True, help='Check the settings and exit.')
def main(path: Path, *, check: bool) -> None:
    """Run one gateway in the foreground."""
    try:
        cfg = read_settings(path)
    except GatewaySettingsError as exc:
        click.echo(f'settings: {exc}', err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if not check:
        run_gateway(cfg, path)
