"""Hold the configuration that a gateway serves, and look things up in it.

Times are seconds, sizes are bytes. A configuration is read only once it is
built; a newer one replaces it as a whole.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import accumulate

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.limits import Limit


@unique
class RouteKind(StrEnum):
    """Tell how often a request of a route may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service its weight in the split of a route."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Describe which requests go where, and what they are owed."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    #: Longest time that a request may stay unanswered.
    timeout: float
    #: Time within which an answer is on time.
    target: float
    shares: tuple[ServiceShare, ...]
    #: Most upstreams that may run one request.
    max_upstreams: int = 1
    #: Rank, 0 first.
    priority: int = 0
    needs_key: bool = True
    resumable: bool = False
    #: Longest pause between two events of a stream that is still on time.
    event_gap: float = 1.0

    def service_for(self, attempt_id: str) -> str:
        """Choose a service by weight, the same one for the same request."""
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
    """Bound the upstreams of a service in one data centre."""

    min_upstreams: int
    max_upstreams: int
    boot_seconds: float
    #: Cost of a reclaimable upstream as a share of another's; 0: none to have.
    reclaimable_price: float = 0
    #: Cost of an upstream by data centre.
    prices: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Describe a model engine as far as it is configured."""

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
    #: Units a second, fleet wide; 0: no limit.
    rate: float = 0
    burst: float = 0
    counts_tokens: bool = False
    #: Tokens that a request without a token count stands for.
    default_tokens: int = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send."""

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


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


class ServedConfiguration:
    """Index one accepted configuration for the path of a request."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServedService],
        workspaces: Iterable[ServedWorkspace],
        limits: CallerLimits,
    ) -> None:
        """Build the lookup tables.

        ``version`` is the operator's, which rises with each change.
        """
        self.version = version
        self.limits = limits
        self.services = {row.name: row for row in services}
        self.workspaces = {row.name: row for row in workspaces}
        self._quotas: dict[float, dict[str, Limit]] = {}
        self._hosts = _by_host(routes)
        self._keys = {
            key: row for row in self.workspaces.values() for key in row.keys
        }

    def quotas(self, window: float) -> dict[str, Limit]:
        """Return the limits of the workspaces that have one."""
        if window not in self._quotas:
            self._quotas[window] = {
                row.name: Limit(row.rate, row.burst, window)
                for row in self.workspaces.values()
                if row.rate
            }
        return self._quotas[window]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        rows = self._hosts.get(host, [])
        matching = (row for row in rows if path.startswith(row.path_prefix))
        return next(matching, None)

    def find_workspace(self, key: str) -> ServedWorkspace | None:
        """Return the workspace that holds a key, if any."""
        return self._keys.get(key)
