"""Check settings, their reference, and the example files."""

import logging
from pathlib import Path

import pytest
from click.testing import CliRunner
from spanfall_api.settings import SettingsError, read_settings
from spanfall_cli.main import EXIT_USAGE, main
from spanfall_cli.reference import write_reference
from spanfall_standins.deployments import DEPLOYMENTS
from spanfall_standins.examples import example_files
from spanfall_standins.settings import read_standin_settings
from syrupy.assertion import SnapshotAssertion

ROOT = Path(__file__).parent.parent
BAD = """{
  // Each of these is a fault.
  "node_id": "a.b",
  "data_centre": "north",
  "admin": {"tokens": []},
  "store": {"kind": "etcd"},
  "times": {"heartbeat": 5, "member_timeout": 3, "tick": 0},
  "colour": "blue"
}
"""


def test_all_faults_are_reported_at_once(
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    path = tmp_path / 'node.jsonc'
    path.write_text(BAD)
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    faults = caught.value.faults  # noqa: WPS441
    assert faults == snapshot


@pytest.mark.parametrize('content', ['{', '[]', '"x"', ''])
def test_bad_files_end_with_the_usage_code(
    tmp_path: Path,
    content: str,
) -> None:
    path = tmp_path / 'node.jsonc'
    path.write_text(content)
    result = CliRunner().invoke(main, ['settings', 'check', str(path)])
    assert result.exit_code == EXIT_USAGE
    assert str(path) in result.output


def test_missing_file_ends_with_the_usage_code(tmp_path: Path) -> None:
    path = tmp_path / 'none.jsonc'
    result = CliRunner().invoke(main, ['settings', 'check', str(path)])
    assert result.exit_code == EXIT_USAGE


def test_admin_port_needs_tokens(tmp_path: Path) -> None:
    path = tmp_path / 'node.jsonc'
    path.write_text('{"node_id": "a", "data_centre": "b", "admin": {}}')
    with pytest.raises(SettingsError, match='admin.tokens'):
        read_settings(path)


def test_short_lease_is_repaired_with_a_warning(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    example = ROOT / 'examples' / 'brolga' / 'node-1.jsonc'
    text = example.read_text().replace(
        '"data_centre": "brisbane-depot",',
        '"data_centre": "brisbane-depot", "times": {"lease": 1},',
        1,
    )
    path = tmp_path / 'node.jsonc'
    path.write_text(text)
    with caplog.at_level(logging.WARNING):
        assert read_settings(path).times.lease == 3
    assert 'times.lease' in caplog.text


def test_reference_is_current() -> None:
    page = ROOT / 'docs' / 'settings.md'
    assert page.read_text('utf-8') == write_reference()


@pytest.mark.parametrize('name', list(DEPLOYMENTS))
def test_examples_are_current_and_valid(name: str) -> None:
    folder = ROOT / 'examples' / name
    files = example_files(DEPLOYMENTS[name])
    found = {path.name: path.read_text() for path in folder.iterdir()}
    assert found == files
    for path in folder.glob('node-*.jsonc'):
        read_settings(path)
    read_standin_settings(folder / 'standins.jsonc')
