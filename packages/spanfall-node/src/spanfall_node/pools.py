"""Keep the pools of the services that have their home here."""

from collections.abc import Callable

from spanfall_api.frames import UpstreamNotice
from spanfall_api.objects import Service
from spanfall_core.reclaim import mark_gone, mark_leaving
from spanfall_core.tables import Policy, Pool, Upstream, Workspace
from spanfall_core.upstreams import put_upstream

from spanfall_node.catalog import Catalog
from spanfall_node.context import Context

PoolListener = Callable[[Pool], None]


def build_policy(service: Service, disabled: frozenset[str]) -> Policy:
    """Return the policy that a service's object asks for."""
    return Policy(
        max_queued=service.max_queued,
        max_retries=service.max_retries,
        cost_weight=service.weights.cost,
        recompute_weight=service.weights.recompute,
        latency_weight=service.weights.latency,
        first_token_target=service.first_token_target,
        disabled=disabled,
    )


class PoolTable:
    """Make pools from the catalog and keep them as it changes."""

    def __init__(self, context: Context, catalog: Catalog) -> None:
        """Start without pools; each is made when first needed."""
        self.changed: list[PoolListener] = []
        self._pools: dict[str, Pool] = {}
        self._leaving: dict[str, tuple[int, float]] = {}
        self._context = context
        self._catalog = catalog
        catalog.listeners.append(self._catalog_changed)

    def all(self) -> list[Pool]:
        """Return the pools that are here."""
        return list(self._pools.values())

    def service(self, name: str) -> Service | None:
        """Return the object of a service."""
        return self._catalog.services.get(name)

    def note_leaving(self, notice: UpstreamNotice) -> None:
        """Keep a notice for pools that are made later."""
        leaves_at = self._context.timers.now() + notice.seconds
        name = notice.upstream_id
        self._leaving[name] = (notice.incarnation, leaves_at)

    def find(self, service: str) -> Pool | None:
        """Return the pool of a service, or None if there is no such one."""
        pool = self._pools.get(service)
        if pool is None and service in self._catalog.services:
            pool = Pool(service)
            self._pools[service] = pool
            self._refresh(pool)
        return pool

    def observe(self, pool: Pool) -> None:
        """Set the gauges of a pool."""
        metrics = self._context.metrics
        running = sum(row.in_flight for row in pool.upstreams.values())
        metrics.queued.labels(pool.service).set(pool.queued)
        metrics.in_flight.labels(pool.service).set(running)

    def _catalog_changed(self, service: str) -> None:
        pool = self._pools.get(service)
        if pool is None:
            return
        self._refresh(pool)
        for listener in self.changed:
            listener(pool)

    def _refresh(self, pool: Pool) -> None:
        service = self._catalog.services.get(pool.service)
        if service is not None:
            pool.kind = service.kind
            disabled = frozenset(self._context.cfg.mechanisms_off)
            pool.policy = build_policy(service, disabled)
        self._refresh_upstreams(pool)
        for name, row in self._catalog.workspaces.items():
            known = pool.workspaces.setdefault(name, Workspace(name))
            if known.burst != row.burst or known.rate != row.rate:
                known.bucket = row.burst
            known.weight = row.weight
            known.rate = row.rate
            known.burst = row.burst
            known.max_running = row.max_running
            known.max_queued = row.max_queued

    def _refresh_upstreams(self, pool: Pool) -> None:
        now = self._context.timers.now()
        names = self._catalog.follow(pool.service)
        for name in names:
            row = self._catalog.upstreams[name]
            upstream = Upstream(
                name,
                row.address.rstrip('/'),
                row.data_centre,
                host_class=row.host_class,
                price=row.price,
                slots=row.slots,
                reclaimable=row.reclaimable,
                incarnation=row.incarnation,
            )
            put_upstream(pool, upstream, now)
            leaving = self._leaving.get(name)
            if leaving is not None:
                mark_leaving(pool, name, *leaving)
        for name in set(pool.upstreams) - names:
            mark_gone(pool, name)
            if not pool.upstreams[name].in_flight:
                pool.upstreams.pop(name)
