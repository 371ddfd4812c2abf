"""Know for how long a service, or a route, has been served in one way only.

A stream whose beginning is not recorded continues only where all that could
have begun it is the same: one service, of one software version.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import Route
from spanfall_core.gateway.known.listed import ListedUpstream

#: Longest time in seconds for which changes are remembered.
MAX_HISTORY_SECONDS = 3600
NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class SoleVersion:
    """Name the only software version of a service, and since when it is."""

    version: str
    #: Time of the steady clock; -inf if there was no other before.
    since: float


@dataclass(slots=True)
class VersionHistory:
    """Hold the software versions listed now, and when others were last."""

    #: Time from which on this node knows all listings.
    known_since: float = float('inf')
    #: Seconds between two listings within which no upstream can have joined and
    #: gone unseen: the platform keeps the record of an ended one for longer.
    max_gap: float = float('inf')
    _listed: dict[str, set[str | None]] = field(default_factory=dict)
    _ended_at: dict[str, dict[str | None, float]] = field(default_factory=dict)
    #: What earlier homes knew.
    _claimed: Mapping[str, SoleVersion] = field(default_factory=dict)

    def apply(self, rows: Iterable[ListedUpstream], now: float) -> None:
        """Apply a listing."""
        self.known_since = min(self.known_since, now)
        listed: defaultdict[str, set[str | None]] = defaultdict(set)
        for row in rows:
            listed[row.service].add(row.software_version)
        for service, versions in self._listed.items():
            ended = self._ended_at.setdefault(service, {})
            for gone in versions - listed.get(service, set()):
                ended[gone] = now
        self._listed = dict(listed)
        self._forget_before(now - MAX_HISTORY_SECONDS)

    def record_gap(self, confirmed_before: float, confirmed_at: float) -> None:
        """Forget the past if listings were confirmed too long after another."""
        if NEVER < confirmed_before < confirmed_at - self.max_gap:
            self.known_since = confirmed_at
            self._claimed = {}

    def claim(self, claimed: Mapping[str, SoleVersion]) -> None:
        """Adopt what earlier homes knew of the time before this node."""
        self._claimed = claimed

    def sole_versions(self) -> dict[str, SoleVersion]:
        """Return the services whose upstreams all have one known version."""
        soles = {service: self._sole(service) for service in self._listed}
        return {key: row for key, row in soles.items() if row is not None}

    def sole_version(
        self, service: str, seconds: float, now: float
    ) -> str | None:
        """Return the only version that a service had for some seconds.

        Return None if there were others, or may have been.
        """
        sole = self._sole(service)
        if sole is None or seconds > MAX_HISTORY_SECONDS:
            return None
        return sole.version if sole.since <= now - seconds else None

    def _sole(self, service: str) -> SoleVersion | None:
        listed = self._listed.get(service, set())
        version = next(iter(listed), None)
        if len(listed) != 1 or version is None:
            return None
        ended = self._ended_at.get(service, {}).values()
        since = max([self.known_since, *ended])
        claimed = self._claimed.get(service)
        if claimed is not None and claimed.version == version and not ended:
            since = min(since, claimed.since)
        return SoleVersion(version, since)

    def _forget_before(self, oldest: float) -> None:
        self._ended_at = {
            service: kept
            for service, ended in self._ended_at.items()
            if (kept := {one: at for one, at in ended.items() if at >= oldest})
        }


@dataclass(frozen=True, slots=True)
class RouteServices:
    """Hold the services of a route, and since when it has had them."""

    services: frozenset[str]
    since: float


@dataclass(frozen=True, slots=True)
class RouteClaim:
    """Hold what a home knew of the routes of a configuration."""

    version: int
    known_since: float
    #: Routes that had other services, and until when.
    changed: Mapping[str, float]


@dataclass(slots=True)
class RouteHistory:
    """Hold the services of each route, and since when they serve it."""

    #: Time from which on this node knows all configurations.
    known_since: float = float('inf')
    #: The first configuration that this node has known.
    _first_version: int = 0
    #: What earlier homes knew, until a configuration is known.
    _claim: RouteClaim | None = None
    _routes: dict[str, RouteServices] = field(default_factory=dict)

    def apply(self, routes: Iterable[Route], version: int, now: float) -> None:
        """Apply a configuration."""
        is_first = not self._first_version
        if is_first:
            self.known_since = min(self.known_since, now)
            self._first_version = version
        since = NEVER if is_first else now
        self._routes = {
            route.name: self._unless_known(
                route.name,
                RouteServices(
                    frozenset(share.service for share in route.shares), since
                ),
            )
            for route in routes
        }
        if self._claim is not None:
            self.claim(self._claim)

    def claim(self, claim: RouteClaim) -> None:
        """Adopt what earlier homes knew up to the first configuration."""
        self._claim = None
        if not self._first_version:
            self._claim = claim
            return
        if claim.version != self._first_version:
            return
        self.known_since = min(self.known_since, claim.known_since)
        for name, since in claim.changed.items():
            known = self._routes.get(name)
            if known is not None and known.since == NEVER:
                self._routes[name] = RouteServices(known.services, since)

    def changed(self, now: float) -> dict[str, float]:
        """Return the routes that have changed, and when."""
        oldest = now - MAX_HISTORY_SECONDS
        return {
            name: row.since
            for name, row in self._routes.items()
            if row.since > oldest
        }

    def sole_service(
        self, route: str, seconds: float, now: float
    ) -> str | None:
        """Return the only service that a route had for some seconds."""
        known = self._routes.get(route)
        if known is None or len(known.services) != 1:
            return None
        if seconds > MAX_HISTORY_SECONDS:
            return None
        if now - seconds < max(known.since, self.known_since):
            return None
        return next(iter(known.services))

    def _unless_known(self, name: str, row: RouteServices) -> RouteServices:
        known = self._routes.get(name, row)
        return known if known.services == row.services else row
