"""Describe the two deployments of the brief at today's sizes."""

from dataclasses import dataclass, replace
from itertools import cycle, islice
from typing import Any

from spanfall_core.tables import ServiceKind
from spanfall_node.catalog import hash_token


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Name a service and say how many workers it has."""

    service: str
    kind: ServiceKind
    workers: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold places, pools and workspaces of one deployment."""

    name: str
    data_centres: tuple[str, ...]
    nodes: int
    pools: tuple[PoolPlan, ...]
    workspaces: tuple[str, ...]
    cost_weight: float
    recompute_weight: float

    def node_places(self) -> list[tuple[str, str]]:
        """Return node id and data centre of each node."""
        places = islice(cycle(self.data_centres), self.nodes)
        return [
            (f'{place}-{number}', place)
            for number, place in enumerate(places, 1)
        ]

    def worker_names(self, pool: PoolPlan) -> list[tuple[str, str]]:
        """Return name and data centre of each worker of a pool."""
        places = islice(cycle(self.data_centres), pool.workers)
        return [
            (f'{pool.service}-{number}', place)
            for number, place in enumerate(places, 1)
        ]


BROLGA = Deployment(
    'brolga',
    ('brisbane-depot', 'gold-coast', 'ipswich', 'sunshine-coast'),
    8,
    (
        PoolPlan('frostmind', ServiceKind.MODEL, 5),
        PoolPlan('rinkdesk', ServiceKind.APPLICATION, 4),
    ),
    ('rink-managers', 'drivers', 'schedulers', 'audit', 'workshop'),
    cost_weight=3,
    recompute_weight=1,
)

MUESTRAS = Deployment(
    'muestras',
    ('barranco', 'miraflores', 'callao', 'surco'),
    9,
    (
        PoolPlan('texto', ServiceKind.MODEL, 9),
        PoolPlan('taquilla', ServiceKind.APPLICATION, 4),
    ),
    ('curators', 'guides', 'registrars', 'box-office', 'logistics'),
    cost_weight=1,
    recompute_weight=3,
)


def scale(plan: Deployment, factor: int) -> Deployment:
    """Return a deployment with more workers in each pool."""
    pools = tuple(
        replace(pool, workers=pool.workers * factor) for pool in plan.pools
    )
    return replace(plan, pools=pools)


DEPLOYMENTS = {row.name: row for row in (BROLGA, MUESTRAS)}

#: Price of a second of a worker by host class.
ON_DEMAND_PRICE = 3.0
RECLAIMABLE_PRICE = 1.0
#: Every so many workers one runs on an on-demand host.
ON_DEMAND_EVERY = 4
WORKER_SLOTS = 8
#: Tokens of demo and examples are the workspace's name with this ending.
TOKEN_ENDING = '-token'


def token_of(workspace: str) -> str:
    """Return the bearer token of a workspace in demo and examples."""
    return workspace + TOKEN_ENDING


def service_object(plan: Deployment, pool: PoolPlan) -> dict[str, Any]:
    """Return the object of a service."""
    return {
        'name': pool.service,
        'kind': pool.kind.value,
        'upstreams': f'service={pool.service}',
        'labels': {'deployment': plan.name},
        'weights': {
            'cost': plan.cost_weight,
            'recompute': plan.recompute_weight,
        },
    }


def workspace_object(name: str) -> dict[str, Any]:
    """Return the object of a workspace."""
    return {
        'name': name,
        'token_hashes': [hash_token(token_of(name))],
        'labels': {'team': name},
    }


def upstream_object(
    pool: PoolPlan,
    name: str,
    data_centre: str,
    number: int,
    address: str,
) -> dict[str, Any]:
    """Return the object of a worker."""
    is_reclaimable = number % ON_DEMAND_EVERY != 0
    return {
        'name': name,
        'address': address,
        'data_centre': data_centre,
        'host_class': 'reclaimable' if is_reclaimable else 'on-demand',
        'price': RECLAIMABLE_PRICE if is_reclaimable else ON_DEMAND_PRICE,
        'slots': WORKER_SLOTS,
        'reclaimable': is_reclaimable,
        'labels': {'service': pool.service},
    }
