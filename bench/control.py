"""Measure what keeping members and configuration costs, by fleet size.

Real nodes run in one process and share a counting table in place of the
key-value service; the processor time of the process is divided by the nodes.
"""

import time

import anyio
from anyio.lowlevel import checkpoint
from spanfall_api.settings import Times
from spanfall_core.claims import Claim, Verdict
from spanfall_core.configuration import Edit
from spanfall_core.tables import ServiceKind
from spanfall_node.admin import check_object
from spanfall_standins.deployments import Deployment, PoolPlan
from spanfall_standins.faulty_store import WRITE, FaultyStore
from spanfall_standins.fleet import Fleet, FleetOptions, run_fleet

Points = list[tuple[float, float]]

NODE_SIZES = (4, 8, 16, 32)
CHANGE_SIZES = (5, 10, 20, 40)
CLAIM_SIZES = (100, 200, 400, 800)
IDLE_SECONDS = 6.0
LOOK_SECONDS = 0.002
SPREADS = 5
DATA_CENTRES = ('north', 'south', 'east', 'west')


def plan_of(nodes: int) -> Deployment:
    """Return a deployment of as many nodes in four data centres."""
    pool = PoolPlan('writer', ServiceKind.MODEL, 2)
    return Deployment(
        'control',
        DATA_CENTRES,
        nodes,
        (pool,),
        ('bench',),
        cost_weight=1,
        recompute_weight=1,
    )


def control_bytes(fleet: Fleet) -> float:
    """Return the control bytes that all nodes have sent."""
    return sum(
        node.metrics.link_bytes.labels('control')._value.get()
        for node in fleet.live_nodes()
    )


def label_edit(step: str) -> Edit:
    """Return an edit of one workspace, of a usual size."""
    labels = {'team': 'bench', 'step': step}
    return check_object('workspaces', {'name': 'bench-2', 'labels': labels})


async def measure_idle(fleet: Fleet, store: FaultyStore) -> dict[str, float]:
    """Return a second's bytes and processor time a node, and store calls."""
    nodes = len(fleet.live_nodes())
    await anyio.sleep(2)
    bytes_before = control_bytes(fleet)
    calls_before = store.calls.total()
    cpu_before = time.process_time()
    await anyio.sleep(IDLE_SECONDS)
    cpu = time.process_time() - cpu_before
    sent = control_bytes(fleet) - bytes_before
    calls = store.calls.total() - calls_before
    return {
        'bytes': sent / IDLE_SECONDS / nodes,
        'cpu': cpu / IDLE_SECONDS / nodes,
        'calls': calls / IDLE_SECONDS,
    }


async def measure_spread(fleet: Fleet, store: FaultyStore) -> float:
    """Return the mean seconds until a change is in force everywhere."""
    total = 0.0
    for number in range(SPREADS):
        nodes = fleet.live_nodes()
        node = nodes[number % len(nodes)]
        label = f'{store.down}-{number}'
        started = time.perf_counter()
        edit = label_edit(label)
        revision = await node.config.accept([edit], 'bench', label)
        while fleet.lowest_revision() < revision:
            await anyio.sleep(LOOK_SECONDS)
        total += time.perf_counter() - started
    return total / SPREADS


async def measure_takeover(fleet: Fleet) -> float:
    """Return the seconds until a lost home is left out by another node."""
    home = fleet.acting_home('writer')
    other = fleet.entry_apart_from(home)
    lost = home.cfg.node_id
    started = time.perf_counter()
    home.kill()
    while other.members.homes_of('writer')[0] == lost:
        await anyio.sleep(LOOK_SECONDS)
    return time.perf_counter() - started


async def measure_changes(
    fleet: Fleet,
    store: FaultyStore,
) -> tuple[Points, Points]:
    """Return bytes a node, and store calls, against accepted changes."""
    sent: Points = []
    calls: Points = []
    nodes = len(fleet.live_nodes())
    for size in CHANGE_SIZES:
        bytes_before = control_bytes(fleet)
        calls_before = store.calls.total()
        started = time.monotonic()
        for number in range(size):
            label = f'{size}-{number}'
            node = fleet.live_nodes()[0]
            await node.config.accept([label_edit(label)], 'bench', label)
        await fleet.wait_revision(node.config.state.revision)
        calls.append((size, store.calls.total() - calls_before))
        # Leave out what the fleet sends anyway in a fixed window.
        await anyio.sleep(max(0, 3 - (time.monotonic() - started)))
        sent.append((size, (control_bytes(fleet) - bytes_before) / nodes))
    return sent, calls


async def measure_claims(fleet: Fleet, store: FaultyStore) -> Points:
    """Return store writes against keyed requests that arrive at once."""
    points: Points = []
    node = fleet.live_nodes()[0]
    for size in CLAIM_SIZES:
        before = store.calls[WRITE]
        told: list[Verdict] = []

        def tell(verdict: Verdict, holder: str, rows: list = told) -> None:
            rows.append(verdict)

        for number in range(size):
            claim = Claim(f'{size}-{number}', f'r{number}', 0)
            node.claims.ask('writer', claim, tell)
            if number % 20 == 0:
                await checkpoint()
        while len(told) < size:
            await anyio.sleep(LOOK_SECONDS)
        points.append((size, store.calls[WRITE] - before))
    return points


async def measure_size(nodes: int, rows: dict[str, Points]) -> None:
    """Add the figures of one fleet size to the points."""
    store = FaultyStore()
    options = FleetOptions(times=Times(tick=0.25))
    async with run_fleet(plan_of(nodes), options, store) as fleet:
        idle = await measure_idle(fleet, store)
        rows['control-bytes'].append((nodes, idle['bytes']))
        rows['control-cpu'].append((nodes, idle['cpu']))
        rows['store-calls-idle'].append((nodes, idle['calls']))
        up = await measure_spread(fleet, store)
        rows['spread-store-up'].append((nodes, up))
        if nodes == NODE_SIZES[2]:
            sent, calls = await measure_changes(fleet, store)
            rows['change-bytes'] = sent
            rows['change-calls'] = calls
            rows['claim-writes'] = await measure_claims(fleet, store)
        rows['takeover'].append((nodes, await measure_takeover(fleet)))


async def measure_start_calls(rows: dict[str, Points]) -> None:
    """Add the store calls of nodes that start into a running fleet."""
    store = FaultyStore()
    async with run_fleet(plan_of(4), FleetOptions(), store) as fleet:
        points = rows['start-calls']
        for number in range(1, 5):
            before = store.calls.total()
            await fleet.start_node(f'late-{number}', 'north')
            await fleet.wait_ready()
            points.append((number, store.calls.total() - before))


def measure_all() -> dict[str, Points]:
    """Return all slopes of the control plane by name."""
    names = (
        'control-bytes',
        'control-cpu',
        'store-calls-idle',
        'spread-store-up',
        'takeover',
        'start-calls',
    )
    rows: dict[str, Points] = {name: [] for name in names}
    for nodes in NODE_SIZES:
        anyio.run(measure_size, nodes, rows)
    anyio.run(measure_start_calls, rows)
    total = 0.0
    summed: Points = []
    for number, calls in rows['start-calls']:
        total += calls
        summed.append((number, total))
    rows['start-calls'] = summed
    return rows
