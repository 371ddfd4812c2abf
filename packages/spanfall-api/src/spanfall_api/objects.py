"""Define the objects that operators create, with their labels."""

from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, StringConstraints
from spanfall_core.tables import ServiceKind

#: Names are used in addresses, keys and metric labels.
NAME_PATTERN: Final = '^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'

Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
Labels = dict[str, str]


class ConfigObject(BaseModel):
    """Give each object a name and labels, and refuse unknown members."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: Name
    labels: Labels = Field(default_factory=dict)


class Weights(BaseModel):
    """Weigh the measures of a deployment against each other."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    cost: float = Field(default=1.0, ge=0)
    recompute: float = Field(default=1.0, ge=0)
    latency: float = Field(default=1.0, ge=0)


class Service(ConfigObject):
    """Describe a pool of upstreams, chosen by a selector over their labels.

    ``allow`` selects the workspaces that may call it; empty allows all.
    Times are seconds.
    """

    kind: ServiceKind
    upstreams: str
    allow: str = ''
    weights: Weights = Weights()
    max_queued: int = Field(default=1000, ge=0)
    max_retries: int = Field(default=6, ge=0)
    queue_seconds: float = Field(default=30.0, gt=0)
    life_seconds: float = Field(default=600.0, gt=0)
    idle_seconds: float = Field(default=20.0, gt=0)
    first_token_target: float = Field(default=0.57, gt=0)


class Workspace(ConfigObject):
    """Describe a customer: its limits and the hashes of its tokens.

    ``token_hashes`` are SHA-256 digests in hexadecimal. A limit of zero
    stands for no limit; ``rate`` is requests a second.
    """

    token_hashes: tuple[str, ...] = ()
    weight: float = Field(default=1.0, gt=0)
    rate: float = Field(default=0.0, ge=0)
    burst: float = Field(default=10.0, ge=1)
    max_running: int = Field(default=0, ge=0)
    max_queued: int = Field(default=0, ge=0)


class Rule(ConfigObject):
    """Route or qualify requests that match all stated conditions.

    ``workspaces`` and ``services`` are selectors. Rules are tried by
    ``order``; the first match applies.
    """

    order: int = 100
    workspaces: str = ''
    model: str = ''
    services: str = ''
    methods: tuple[str, ...] = ()
    path_prefix: str = ''
    route_to: str = ''
    idempotent: bool | None = None
    priority: int | None = None
    deadline_ms: int | None = Field(default=None, gt=0)


class Upstream(ConfigObject):
    """Describe one worker: where it is and what a second of it costs."""

    address: str
    data_centre: str
    host_class: str = 'standard'
    price: float = Field(default=1.0, ge=0)
    slots: int = Field(default=1, ge=1)
    reclaimable: bool = True
    incarnation: int = Field(default=1, ge=0)


ObjectType = type[ConfigObject]

#: Kinds of objects, by the plural that the admin interface uses.
KINDS: Final[dict[str, ObjectType]] = {
    'services': Service,
    'workspaces': Workspace,
    'rules': Rule,
    'upstreams': Upstream,
}
