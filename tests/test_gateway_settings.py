"""Test that gateway settings are parsed and errors name the setting."""

from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from spanfall_api.gateway_settings import GatewaySettingsError, parse_settings
from spanfall_node.gateway.main import main
from spanfall_node.gateway.settings_watch import SettingsWatch
from spanfall_node.gateway.tables.scheduling import Feature, Scheduling

VALID_SETTINGS = """
// a comment
{
  "node": "n", "data_centre": "north", "platform": "x",
  "listen": {"callers": "a:1", "readiness": "a:2", "links": "a:3"},
  "store": "a:4", "bounds": {"revoke_seconds": 5000e-3}
}
"""


def test_defaults_and_numbers():
    cfg = parse_settings(VALID_SETTINGS)
    assert (cfg.bounds.revoke_seconds, cfg.bounds.stop_seconds) == (5, 8)
    assert (cfg.cloud, cfg.reports_usage) == ('', False)


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('"store": "a:4"', '"store": 4', '$.store'),
        ('"callers"', '"caller"', 'caller'),
        ('5000e-3', '-1', '$.bounds.revoke_seconds'),
        ('"node": "n",', '', 'node'),
        ('{', '', 'not JSON'),
    ],
)
def test_error_names_the_invalid_setting(old, new, named):
    with pytest.raises(GatewaySettingsError) as caught:
        parse_settings(VALID_SETTINGS.replace(old, new, 1))
    assert named in str(caught.value)


def test_check_option_validates_a_file(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(VALID_SETTINGS, 'utf-8')
    valid = CliRunner().invoke(main, ['--settings', str(path), '--check'])
    path.write_text('{}', 'utf-8')
    invalid = CliRunner().invoke(main, ['--settings', str(path), '--check'])
    assert (valid.exit_code, invalid.exit_code) == (0, 2)
    assert 'settings:' in invalid.output


def test_changed_settings_switch_a_running_node(tmp_path):
    """A feature that is turned off in the file is off without a restart."""
    path = tmp_path / 'settings.json'
    cfg = parse_settings(VALID_SETTINGS)
    state = SimpleNamespace(cfg=cfg, scheduling=Scheduling(cfg.scheduling))
    mode = '"scheduling": {"contention": "on"}, "node": "n"'
    path.write_text(VALID_SETTINGS.replace('"node": "n"', mode), 'utf-8')
    SettingsWatch(state, path)._reload()
    assert state.scheduling.is_on(Feature.CONTENTION, 'any')
