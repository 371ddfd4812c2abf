"""Write the example settings: ``python -m spanfall_standins.examples DIR``."""

import json
from itertools import count
from pathlib import Path
from typing import Any

import click
from spanfall_core.tables import ServiceKind
from spanfall_node.catalog import hash_token

from spanfall_standins.deployments import (
    DEPLOYMENTS,
    Deployment,
    service_object,
    upstream_object,
    workspace_object,
)

#: First port of each deployment; later ones count up from it.
BASE_PORTS = {'brolga': 21_000, 'muestras': 22_000}
CALLER_OFFSET = 100
ADMIN_OFFSET = 200
PEER_OFFSET = 300
WORKER_OFFSET = 400
ADMIN_TOKEN = 'operator-token'
SEEDS = 2

Json = dict[str, Any]


def node_document(plan: Deployment, number: int, base: int) -> Json:
    """Return the settings of one node, with ports counted from a base."""
    places = plan.node_places()
    node_id, place = places[number]
    token = {
        'name': 'operator',
        'token_hash': hash_token(ADMIN_TOKEN),
        'role': 'admin',
    }
    return {
        'node_id': node_id,
        'data_centre': place,
        'caller': {'port': base + CALLER_OFFSET + number},
        'peer': {'port': base + PEER_OFFSET + number},
        'admin': {'port': base + ADMIN_OFFSET + number, 'tokens': [token]},
        'store': {'kind': 'etcd', 'url': f'http://127.0.0.1:{base}'},
        'seeds': [
            {
                'node_id': seed_id,
                'data_centre': seed_place,
                'address': f'127.0.0.1:{base + PEER_OFFSET + seed}',
            }
            for seed, (seed_id, seed_place) in enumerate(places[:SEEDS])
        ],
    }


def standin_document(plan: Deployment, base: int) -> Json:
    """Return the settings of all stand-ins of a deployment."""
    ports = count(base + WORKER_OFFSET)
    document: Json = {'store_port': base, 'engines': [], 'applications': []}
    for pool in plan.pools:
        is_model = pool.kind is ServiceKind.MODEL
        group = document['engines' if is_model else 'applications']
        group.extend(
            {'name': name, 'port': next(ports)}
            for name, _ in plan.worker_names(pool)
        )
    return document


def object_document(plan: Deployment, base: int) -> list[Json]:
    """Return all objects of a deployment, as ``spanfall apply`` reads."""
    ports = count(base + WORKER_OFFSET)
    rows = [
        {'kind': 'workspaces', 'object': workspace_object(name)}
        for name in plan.workspaces
    ]
    for pool in plan.pools:
        service = service_object(plan, pool)
        rows.append({'kind': 'services', 'object': service})
        for number, (name, place) in enumerate(plan.worker_names(pool), 1):
            address = f'http://127.0.0.1:{next(ports)}'
            row = upstream_object(pool, name, place, number, address)
            rows.append({'kind': 'upstreams', 'object': row})
    return rows


def example_files(plan: Deployment) -> dict[str, str]:
    """Return the content of each example file by its name."""
    base = BASE_PORTS[plan.name]
    files = {
        f'node-{number + 1}.jsonc': render(
            f'Node {node_id} of {plan.name}; `spanfall settings show` lists '
            'all defaults.',
            node_document(plan, number, base),
        )
        for number, (node_id, _) in enumerate(plan.node_places())
    }
    files['standins.jsonc'] = render(
        f'All stand-ins of {plan.name}: python -m spanfall_standins.',
        standin_document(plan, base),
    )
    files['objects.jsonc'] = render(
        f'All objects of {plan.name}, for `spanfall apply`. The bearer token '
        "of a workspace is its name and '-token'.",
        object_document(plan, base),
    )
    return files


def render(comment: str, document: object) -> str:
    """Return a document as JSON under a comment."""
    return f'// {comment}\n{json.dumps(document, indent=2)}\n'


@click.command()
@click.argument('folder', type=click.Path(path_type=Path))
def main(folder: Path) -> None:
    """Write the example settings of both deployments below a folder."""
    for name, plan in DEPLOYMENTS.items():
        target = folder / name
        target.mkdir(parents=True, exist_ok=True)
        for file_name, content in example_files(plan).items():
            (target / file_name).write_text(content, 'utf-8')


if __name__ == '__main__':
    main()
