"""Define, read and validate the settings of a gateway.

A settings file is JSON with comments. The names of durations end in their
unit.
"""

from enum import StrEnum, unique
from pathlib import Path
from typing import Annotated

import jsonc
import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


BYTES_PER_MEGABYTE = 1_000_000
#: Fraction of the memory for bodies; the rest is for the program, its tables
#: and the buffers of connections.
BODY_FRACTION = 0.25


class GatewaySettingsError(Exception):
    """Report which setting is invalid and where."""


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """List the addresses that a gateway listens on, as host:port."""

    callers: str
    readiness: str
    #: Address for the links between nodes.
    links: str
    metrics: str = ''
    #: Whether this node connects to upstreams for nodes that do not reach them,
    #: at the port after that of ``links``.
    serves_tunnels: bool = False

    @property
    def tunnels(self) -> str:
        """Return the address for tunnels, or '' if this node serves none."""
        host, _, port = self.links.rpartition(':')
        return f'{host}:{int(port) + 1}' if self.serves_tunnels else ''


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define the guarantees that the deployment gives its users by contract."""

    #: Time after its revocation within which a key must stop working.
    revoke_seconds: Positive = 5
    #: Whether this also holds on a node that cannot reach the store: such a
    #: node then refuses requests with keys.
    revocation_binds: bool = True
    #: Time from the stop signal until the process is killed.
    stop_seconds: Positive = 8
    retry_ratio: float = 0.2
    retry_allowance: float = 50
    retry_window_seconds: Positive = 10
    #: Length of the sliding window over which workspace limits hold.
    quota_window_seconds: Positive = 8
    #: Overage that the platform tolerates within a window, as a fraction of
    #: the limit and in units; used only for entries that may be partitioned.
    quota_overage: float = 0
    quota_allowance: float = 0
    #: Minimum lease time of a fleet-wide duty, and the time that a new holder
    #: waits before it acts.
    duty_lease_seconds: Positive = 3
    usage_window_seconds: Positive = 5


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe the resources that the host provides to this node."""

    #: CPU cores available to the node, as a fraction of one core.
    processor_part: Positive = 1
    #: Speed of such a core relative to a reference core.
    processor_speed: Positive = 1
    #: Bandwidth of the host's link, in Mbit/s.
    link_megabits: Positive = 1000
    #: Memory in MB beyond which the platform ends the process.
    memory_megabytes: Positive = 200
    #: Open files and sockets that the platform allows the process; the limit of
    #: the process (RLIMIT_NOFILE) holds too.
    descriptors: Count = 1_000_000

    @property
    def memory_bytes(self) -> float:
        """Return the bytes beyond which the platform ends the process."""
        return self.memory_megabytes * BYTES_PER_MEGABYTE

    @property
    def body_bytes(self) -> int:
        """Return the bytes of bodies and responses that the node may hold."""
        return int(self.memory_bytes * BODY_FRACTION)


@unique
class Mode(StrEnum):
    """State when a feature is in force."""

    #: For the services whose upstreams or routes call for it.
    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class SchedulingSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Choose which scheduling features are in force."""

    #: Hold, order and reject requests at the home while a service has no room.
    contention: Mode = Mode.AUTO
    #: Route by the speed that single upstreams state and show.
    upstream_speeds: Mode = Mode.AUTO
    #: Order upstreams by what one more is expected to earn and to cost.
    capacity: Mode = Mode.AUTO


#: Duration of the home's lease in seconds, unless the store's shortest lease
#: is longer.
HOME_LEASE_SECONDS = 2.5


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define the settings of one gateway."""

    node: str
    data_centre: str
    #: Name of the module that provides the platform's adapter.
    platform: str
    listen: Listen
    #: Address of the store, host:port.
    store: str
    #: Minimum lease time that the store grants.
    least_lease_seconds: float = 0
    #: Interval at which each upstream rewrites its entry in the store.
    upstream_heartbeat_seconds: Positive = 1.2
    #: Address of the cloud API, host:port; empty: the fleet has no duties.
    cloud: str = ''
    #: Whether this fleet reports usage and whether it orders upstreams.
    reports_usage: bool = False
    orders_upstreams: bool = False
    bounds: Bounds = Bounds()
    host: Host = Host()
    scheduling: SchedulingSettings = SchedulingSettings()
    #: Number of entries assumed to share each limit until it is known.
    assumed_entries: Count = 8
    #: Maximum log lines per second; further lines are dropped and counted.
    log_lines_per_second: Count = 100

    @property
    def home_lease_seconds(self) -> float:
        """Return the duration of the home's lease."""
        return max(HOME_LEASE_SECONDS, self.least_lease_seconds)


def parse_settings(text: str) -> GatewaySettings:
    """Parse settings from text.

    Raises:
        GatewaySettingsError: the text is not JSON, or a setting is invalid.
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
    """Read and validate a settings file.

    Raises:
        GatewaySettingsError: the file is unreadable or a setting is invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        raise GatewaySettingsError(f'cannot read {path}: {exc}') from exc
    return parse_settings(text)
