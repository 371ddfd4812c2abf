"""Read the settings of a node: JSON with comments, defaults and checks.

All errors of a file are reported at once, each with its path in the file.
"""

import logging
from enum import StrEnum, unique
from pathlib import Path
from typing import Annotated, Any, Final, Literal

import jsonc
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)

logger = logging.getLogger(__name__)

#: Node ids are part of request ids, which use the dot as separator.
NodeId = Annotated[str, StringConstraints(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Port = Annotated[int, Field(ge=0, le=65535)]


class SettingsError(Exception):
    """List all faults of a settings file, one text a fault."""

    def __init__(self, path: str, faults: list[str]) -> None:
        """Keep the path of the file and its faults."""
        super().__init__('\n'.join(f'{path}: {fault}' for fault in faults))
        self.faults = faults


class Section(BaseModel):
    """Refuse unknown members, so that a misspelt setting is noticed."""

    model_config = ConfigDict(extra='forbid')


class Listen(Section):
    """Name the address and port that a server listens on."""

    host: str = '127.0.0.1'
    port: Port = 0


@unique
class Role(StrEnum):
    """Name what a bearer of an admin token may do."""

    VIEWER = 'viewer'
    EDITOR = 'editor'
    ADMIN = 'admin'


class AdminToken(Section):
    """Allow a bearer token on the admin port.

    ``workspaces`` limits an editor or viewer to these; empty means all.
    ``expires_at`` is seconds since 1970.
    """

    name: str
    token_hash: Annotated[str, StringConstraints(pattern='^[0-9a-f]{64}$')]
    role: Role = Role.VIEWER
    workspaces: tuple[str, ...] = ()
    expires_at: float | None = None


class PeerListen(Listen):
    """Describe the port for other nodes.

    ``advertise`` is the ``host:port`` under which they reach it, where that
    is not the address it listens on.
    """

    advertise: str = ''


class AdminListen(Listen):
    """Describe the admin port; it has no way to run without tokens."""

    tokens: Annotated[tuple[AdminToken, ...], Field(min_length=1)]


class Seed(Section):
    """Name a node to ask for members first."""

    node_id: NodeId
    data_centre: str
    address: str


class Store(Section):
    """Name the platform's key-value service."""

    kind: Literal['etcd', 'embedded'] = 'etcd'
    url: str = ''
    prefix: str = '/spanfall/'
    timeout_seconds: float = Field(default=2.0, gt=0)

    @model_validator(mode='after')
    def _check_url(self) -> 'Store':
        if self.kind == 'etcd' and not self.url:
            raise ValueError('kind etcd needs a url')
        return self


class Platform(Section):
    """Name the platform's other interfaces; empty means not there."""

    cloud_url: str = ''
    host_list_url: str = ''
    poll_seconds: float = Field(default=0.5, gt=0)


class Limits(Section):
    """Bound what a caller or peer can make the node hold; sizes in bytes."""

    body_bytes: int = Field(default=8_388_608, gt=0)
    header_bytes: int = Field(default=32_768, gt=0)
    body_seconds: float = Field(default=30.0, gt=0)
    max_tokens: int = Field(default=16_384, gt=0)
    window_pieces: int = Field(default=256, gt=0)
    open_requests: int = Field(default=5000, gt=0)


class Times(Section):
    """Set the periods and timeouts of a node, in seconds."""

    tick: float = Field(default=0.05, gt=0)
    flush: float = Field(default=0.01, ge=0)
    heartbeat: float = Field(default=1.0, gt=0)
    member_timeout: float = Field(default=3.0, gt=0)
    isolation: float = Field(default=30.0, gt=0)
    lease: float = Field(default=6.0, gt=0)
    answer_hold: float = Field(default=60.0, gt=0)
    reattach: float = Field(default=5.0, ge=0)
    connect_timeout: float = Field(default=1.0, gt=0)
    drain: float = Field(default=20.0, gt=0)
    claim_window: float = Field(default=86_400.0, gt=0)
    claim_wait: float = Field(default=5.0, gt=0)


class Logging(Section):
    """Choose level and format of the log."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['json', 'text'] = 'json'


class NodeSettings(Section):
    """Hold all settings of one node process."""

    node_id: NodeId
    data_centre: str
    region: str = 'default'
    caller: Listen = Field(default_factory=Listen)
    peer: PeerListen = Field(default_factory=PeerListen)
    admin: AdminListen
    store: Store
    seeds: tuple[Seed, ...] = ()
    platform: Platform = Field(default_factory=Platform)
    limits: Limits = Field(default_factory=Limits)
    times: Times = Field(default_factory=Times)
    logging: Logging = Field(default_factory=Logging)
    policy: Literal['score', 'least-reported', 'round-robin'] = 'score'
    mechanisms_off: tuple[str, ...] = ()

    @model_validator(mode='after')
    def _check_times(self) -> 'NodeSettings':
        if self.times.member_timeout <= self.times.heartbeat:
            raise ValueError(
                'times.member_timeout must be longer than times.heartbeat',
            )
        return self


def load_document(path: Path) -> Any:
    """Parse a file of JSON with comments, or raise SettingsError."""
    try:
        return jsonc.loads(path.read_text('utf-8'))
    except OSError as exc:
        raise SettingsError(str(path), [f'cannot read: {exc}']) from exc
    except ValueError as exc:
        raise SettingsError(str(path), [f'not JSON: {exc}']) from exc


def describe_faults(exc: ValidationError) -> list[str]:
    """Return one text a fault, beginning with its path in the document."""
    return [
        '{0}: {1}'.format(
            '.'.join(map(str, fault['loc'])) or '(top)',
            fault['msg'],
        )
        for fault in exc.errors()
    ]


def read_settings(path: Path) -> NodeSettings:
    """Read and check the settings of a node, or raise SettingsError."""
    document = load_document(path)
    try:
        cfg = NodeSettings.model_validate(document)
    except ValidationError as exc:
        raise SettingsError(str(path), describe_faults(exc)) from exc
    return normalize(cfg)


def normalize(cfg: NodeSettings) -> NodeSettings:
    """Repair harmless settings, with a warning that names each."""
    if cfg.times.lease < MIN_LEASES_PER_HEARTBEAT * cfg.times.heartbeat:
        fixed = MIN_LEASES_PER_HEARTBEAT * cfg.times.heartbeat
        logger.warning(
            'times.lease of %s s is under %s heartbeats; using %s s',
            cfg.times.lease,
            MIN_LEASES_PER_HEARTBEAT,
            fixed,
        )
        times = cfg.times.model_copy(update={'lease': fixed})
        return cfg.model_copy(update={'times': times})
    return cfg


#: A lease shorter than this many heartbeats lapses by chance.
MIN_LEASES_PER_HEARTBEAT: Final = 3
