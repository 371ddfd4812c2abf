"""Define, read and check the settings of a gateway.

A settings file is JSON with comments. Times have their unit in the name.
"""

from pathlib import Path
from typing import Annotated

import jsonc
import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class GatewaySettingsError(Exception):
    """Say which setting is wrong and where."""


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Give the addresses that a gateway listens on, as host:port."""

    callers: str
    readiness: str
    #: Port for the links between nodes.
    links: str
    metrics: str = ''


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State what the deployment promises its users; from its contract."""

    #: A revoked key must not work later than this.
    revoke_seconds: Positive = 5
    #: Whether that holds also at a node that cannot reach the store; such a
    #: node refuses keyed requests then.
    revocation_binds: bool = True
    #: From the signal to stop until the process is killed.
    stop_seconds: Positive = 8
    retry_ratio: float = 0.2
    retry_allowance: float = 50
    retry_window_seconds: Positive = 10
    #: Every span of this length keeps the limits of the workspaces.
    quota_window_seconds: Positive = 8
    #: Part of a limit, and units beside it, that the platform tolerates beyond
    #: a limit in such a span; used only for entries that may be cut off.
    quota_overage: float = 0
    quota_allowance: float = 0
    #: Least time of a duty's lease, and wait before a new holder acts.
    duty_lease_seconds: Positive = 3
    usage_window_seconds: Positive = 5


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State what the host gives to this node."""

    #: Part of a core's time that the node gets.
    processor_part: Positive = 1
    #: How many times as fast as a plain core it runs.
    processor_speed: Positive = 1
    #: Bandwidth of the host's link, in Mbit/s.
    link_megabits: Positive = 1000


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one gateway."""

    node: str
    data_centre: str
    #: Module that holds the platform's adapter.
    platform: str
    listen: Listen
    #: Address of the store, host:port.
    store: str
    #: Shortest lease that the store grants.
    least_lease_seconds: float = 0
    #: Seconds after which each upstream writes its entry in the store again.
    upstream_heartbeat_seconds: Positive = 1.2
    #: Address of the cloud API, host:port; empty: this fleet has no duties.
    cloud: str = ''
    #: Whether this fleet reports usage and orders upstreams.
    reports_usage: bool = False
    orders_upstreams: bool = False
    bounds: Bounds = Bounds()
    host: Host = Host()
    #: Entries that share each limit as long as nobody counts them.
    assumed_entries: Count = 8
    #: Log lines a second; more are left out and counted.
    log_lines_per_second: Count = 100


def parse_settings(text: str) -> GatewaySettings:
    """Read settings from text.

    Raises:
        GatewaySettingsError: the text is no JSON, or a setting is wrong.
    """
    try:
        content = jsonc.loads(text)
    except ValueError as exc:
        raise GatewaySettingsError(f'not JSON with comments: {exc}') from exc
    try:
        return msgspec.convert(content, GatewaySettings)
    except msgspec.ValidationError as exc:
        raise GatewaySettingsError(str(exc)) from exc


def read_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    Raises:
        GatewaySettingsError: the file cannot be read, or a setting is wrong.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise GatewaySettingsError(f'cannot read {path}: {exc}') from exc
    return parse_settings(text)
