"""Represent and index the configuration that a gateway serves.

Times are in seconds, sizes in bytes. A configuration is immutable once built;
a newer version replaces it as a whole.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import accumulate
from statistics import median

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.limits import Limit

#: Target latency assumed for a service without a route.
DEFAULT_TARGET_SECONDS = 1.0


@unique
class RouteKind(StrEnum):
    """State whether a request of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Assign a service its weight in the traffic split of a route."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests that a route matches and how they are served."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    #: Maximum time until a request is answered.
    timeout: float
    #: Target latency: an answer within this time counts as on time.
    target: float
    shares: tuple[ServiceShare, ...]
    #: Maximum number of upstreams that may run the same request.
    max_upstreams: int = 1
    #: Priority class; 0 is the highest.
    priority: int = 0
    needs_key: bool = True
    resumable: bool = False
    #: Maximum pause between two events of a stream that counts as on time.
    event_gap: float = 1.0

    def service_for(self, attempt_id: str) -> str:
        """Choose a service by weight, deterministically for each attempt id."""
        sums = list(accumulate(share.weight for share in self.shares))
        if len(sums) == 1 or not sums[-1]:
            return self.shares[0].service
        hashed = xxh3_64_intdigest(attempt_id.encode()) % sums[-1]
        chosen = next(
            index for index, bound in enumerate(sums) if hashed < bound
        )
        return self.shares[chosen].service


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bound the number of upstreams of a service in one data centre."""

    min_upstreams: int
    max_upstreams: int
    boot_seconds: float
    #: Price of a reclaimable upstream relative to a regular one; 0 if the
    #: service has no reclaimable upstreams.
    reclaimable_price: float = 0
    #: Price of an upstream by data centre.
    prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Describe the configured properties of a model engine."""

    slots: int
    cache_tokens: int
    supports_kv_transfer: bool = False


@dataclass(frozen=True, slots=True)
class ServedService:
    """Describe one service."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class ServedWorkspace:
    """Describe one workspace: its keys and its limits."""

    name: str
    keys: frozenset[str]
    priority: int | None = None
    #: Fleet-wide rate limit, in units per second; 0 means no limit.
    rate: float = 0
    burst: float = 0
    counts_tokens: bool = False
    #: Tokens charged for a request that states no token count.
    default_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size and duration of what a caller sends."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3
    idle_timeout: float = 15


def _by_host(routes: Iterable[Route]) -> dict[str, list[Route]]:
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: sorted(rows, key=_prefix_length, reverse=True)
        for host, rows in hosts.items()
    }


def _tightest_targets(routes: Iterable[Route]) -> dict[str, float]:
    targets: dict[str, float] = {}
    for route in routes:
        for share in route.shares:
            known = targets.get(share.service, route.target)
            targets[share.service] = min(known, route.target)
    return targets


def _median_rate(workspaces: Iterable[ServedWorkspace]) -> float:
    return median([row.rate for row in workspaces if row.rate] or [1])


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


class ServedConfiguration:
    """Index one accepted configuration for lookups on the request path."""

    def __init__(
        self,
        version: int,
        routes: Collection[Route],
        services: Iterable[ServedService],
        workspaces: Iterable[ServedWorkspace],
        limits: CallerLimits,
    ) -> None:
        """Build the lookup tables.

        ``version`` is assigned by the operator and increases with each change.
        """
        self.version = version
        self.limits = limits
        self.services = {row.name: row for row in services}
        self.workspaces = {row.name: row for row in workspaces}
        self._quotas: dict[float, dict[str, Limit]] = {}
        self.routes = tuple(routes)
        self._hosts = _by_host(self.routes)
        self._targets = _tightest_targets(self.routes)
        self._usual_rate = _median_rate(self.workspaces.values())
        self._keys = {
            key: row for row in self.workspaces.values() for key in row.keys
        }

    def quotas(self, window: float) -> dict[str, Limit]:
        """Return the limits of the workspaces that have a rate limit."""
        if window not in self._quotas:
            self._quotas[window] = {
                row.name: Limit(row.rate, row.burst, window)
                for row in self.workspaces.values()
                if row.rate
            }
        return self._quotas[window]

    def weight(self, workspace: ServedWorkspace | None) -> float:
        """Return the share of a workspace relative to others.

        It is the rate of the workspace, or the median rate of the others for
        one without a limit and for callers without a key.
        """
        rate = workspace.rate if workspace else 0
        return rate or self._usual_rate

    def tightest_target(self, service: str) -> float:
        """Return the least target latency of the routes to a service."""
        return self._targets.get(service, DEFAULT_TARGET_SECONDS)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any."""
        rows = self._hosts.get(host, [])
        matching = (row for row in rows if path.startswith(row.path_prefix))
        return next(matching, None)

    def find_workspace(self, key: str) -> ServedWorkspace | None:
        """Return the workspace that a key belongs to, if any."""
        return self._keys.get(key)
