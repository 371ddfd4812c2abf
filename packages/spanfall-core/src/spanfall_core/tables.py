"""Define the state that a home keeps for each of its services.

Times are in seconds of the timer service. Sizes are in bytes, except those
named tokens. A pool is the state of one service at its home: its upstreams,
workspaces and requests.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum, unique

from spanfall_core.reasons import RetryReason

#: Decode time per token assumed for an upstream without measurements, in
#: seconds.
DEFAULT_TOKEN_SECONDS = 0.02
#: Duration assumed for an application call before the first response, in
#: seconds.
DEFAULT_CALL_SECONDS = 0.05
#: Initial retry credit of a pool, in retries.
DEFAULT_RETRY_CREDIT = 20.0


#: Queue heap entry: negated priority, due time, sequence number, request id.
QueueEntry = tuple[int, float, int, str]
#: Due-time heap entry: due time, sequence number and request id.
DueEntry = tuple[float, int, str]


@unique
class ServiceKind(StrEnum):
    """Distinguish model services, whose streams can resume, from applications."""

    MODEL = 'model'
    APPLICATION = 'application'


@unique
class UpstreamState(StrEnum):
    """List the lifecycle states of an upstream."""

    ACTIVE = 'active'
    LEAVING = 'leaving'
    GONE = 'gone'


@unique
class RequestState(StrEnum):
    """List the lifecycle states of a request at its home."""

    QUEUED = 'queued'
    AWAITING_RIGHT = 'awaiting-right'
    RUNNING = 'running'
    DONE = 'done'


@dataclass(slots=True)
class Upstream:
    """Describe one upstream of a service and its current load.

    ``token_seconds`` and ``call_seconds`` are moving averages of the time per
    token and per call.
    """

    upstream_id: str
    address: str
    data_centre: str
    host_class: str = 'standard'
    price: float = 1.0
    slots: int = 1
    reclaimable: bool = True
    incarnation: int = 0
    state: UpstreamState = UpstreamState.ACTIVE
    leaves_at: float | None = None
    in_flight: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    active_since: float = 0.0
    token_seconds: float = DEFAULT_TOKEN_SECONDS
    call_seconds: float = DEFAULT_CALL_SECONDS
    reported_load: float = 0.0


@dataclass(slots=True)
class Workspace:
    """Hold the limits of a workspace and its current usage.

    ``queued_work`` is the estimated work in its queue, in slot-seconds, by
    priority.
    """

    name: str
    weight: float = 1.0
    rate: float = 0.0
    burst: float = 1.0
    max_running: int = 0
    max_queued: int = 0
    bucket: float = 0.0
    refilled_at: float = 0.0
    running: int = 0
    queued: int = 0
    queued_work: dict[int, float] = field(default_factory=dict)
    virtual_time: float = 0.0


@dataclass(slots=True)
class Request:
    """Describe one admitted request at its home.

    ``work`` is the estimate made when it was queued, in slot-seconds.
    """

    request_id: str
    workspace: str
    attempt: int = 1
    kind: ServiceKind = ServiceKind.MODEL
    idempotent: bool = True
    key: str = ''
    priority: int = 0
    deadline: float | None = None
    expires_at: float = float('inf')
    arrived_at: float = 0.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    progress: int = 0
    state: RequestState = RequestState.QUEUED
    upstream_id: str = ''
    sequence: int = 0
    work: float = 0.0
    run: int = 0
    retries: int = 0
    dispatched_at: float = 0.0
    may_have_run: bool = False
    avoid: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Policy:
    """Hold the scheduling settings of one pool."""

    max_queued: int = 1000
    max_retries: int = 6
    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    eject_after: int = 3
    eject_seconds: float = 5.0
    slow_start_seconds: float = 5.0
    cost_weight: float = 1.0
    recompute_weight: float = 1.0
    latency_weight: float = 1.0
    first_token_target: float = 0.57
    prefill_token_seconds: float = 0.0002
    export_seconds: float = 0.25
    disabled: frozenset[str] = frozenset()


@dataclass(slots=True)
class Pool:
    """Hold all state of one service at its home.

    ``queues`` and ``due`` are heaps. An entry is valid only while its request
    is queued under the same sequence number; stale entries are skipped.
    """

    service: str
    kind: ServiceKind = ServiceKind.MODEL
    policy: Policy = field(default_factory=Policy)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    queues: dict[str, list[QueueEntry]] = field(default_factory=dict)
    due: list[DueEntry] = field(default_factory=list)
    prefixes: OrderedDict[tuple[int, str], float] = field(
        default_factory=OrderedDict,
    )
    sequence: int = 0
    queued: int = 0
    retry_credit: float = DEFAULT_RETRY_CREDIT
    virtual_time: float = 0.0
    retries: dict[RetryReason, int] = field(default_factory=dict)
    recomputed_tokens: int = 0
    moved_tokens: int = 0
