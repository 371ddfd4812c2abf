"""Check the demo: the whole path in one process."""

import json

from click.testing import CliRunner
from spanfall_cli.main import main


def test_demo_serves_both_kinds() -> None:
    result = CliRunner().invoke(main, ['demo', '--output', 'json'])
    assert result.exit_code == 0, result.output
    steps = json.loads(result.output)['steps']
    assert [(step['step'], step['kept']) for step in steps] == [
        ('chat', True),
        ('job sheet', True),
    ]
