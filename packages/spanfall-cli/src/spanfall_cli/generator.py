"""Make traces from a seed: who asks what, and what fails when."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

from spanfall_core.tables import ServiceKind
from spanfall_standins.application import WorkerSpeed
from spanfall_standins.deployments import BROLGA, MUESTRAS, Deployment, scale
from spanfall_standins.engine import EngineSpeed

from spanfall_cli.traces import (
    FaultLine,
    Outcomes,
    RequestLine,
    Setup,
    Trace,
)

PROMISES = (
    'accepted-survives',
    'whole-own-answer',
    'not-run-means-not-run',
    'at-most-once',
    'leaving-gets-no-work',
    'planned-stop-cuts-nothing',
    'configuration-holds',
)
ENGINE = EngineSpeed(step_seconds=0.08, step_per_stream=0.001)
WORKER = WorkerSpeed(call_seconds=0.05)
NOTICE_SECONDS = 3.0
#: Seconds until a reclaimed host is replaced.
AWAY_SECONDS = 25.0
LEAST_ANSWERED = 0.9
#: The stress trace has this many times the workers and requests.
STRESS = 10


@dataclass(frozen=True, slots=True)
class Flow:
    """Describe one kind of request of a workspace; ``rate`` a second."""

    rate: float
    workspace: str
    service: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe a trace to be made."""

    deployment: Deployment
    seconds: float
    flows: tuple[Flow, ...]
    faults: tuple[FaultLine, ...]
    factor: int = 1


def flow_of(
    kind: ServiceKind,
    rate: float,
    workspace: str,
    service: str,
    **fields: Any,
) -> Flow:
    """Return a flow of requests of one kind."""
    return Flow(rate, workspace, service, {'kind': kind, **fields})


model_flow = partial(flow_of, ServiceKind.MODEL)
call_flow = partial(flow_of, ServiceKind.APPLICATION)


def brolga_flows(factor: float) -> tuple[Flow, ...]:
    """Return the requests of a Brolga morning, times a factor."""
    once = {'idempotent': False}
    return (
        model_flow(
            0.25 * factor,
            'rink-managers',
            'frostmind',
            tokens=120,
            document_tokens=1500,
        ),
        model_flow(
            0.8 * factor,
            'drivers',
            'frostmind',
            tokens=15,
            document_tokens=200,
            priority=5,
            deadline_ms=4000,
        ),
        call_flow(0.8 * factor, 'schedulers', 'rinkdesk', method='GET'),
        call_flow(0.5 * factor, 'schedulers', 'rinkdesk', **once),
        call_flow(0.5 * factor, 'workshop', 'rinkdesk', key='keyed', **once),
    )


def muestras_flows(factor: float) -> tuple[Flow, ...]:
    """Return the requests of an opening at Muestras, times a factor."""
    once = {'idempotent': False}
    return (
        model_flow(
            0.3 * factor,
            'curators',
            'texto',
            tokens=150,
            document_tokens=2000,
        ),
        model_flow(
            0.6 * factor,
            'guides',
            'texto',
            tokens=15,
            document_tokens=300,
            priority=5,
            deadline_ms=4000,
        ),
        model_flow(0.4 * factor, 'registrars', 'texto', tokens=8),
        call_flow(factor, 'box-office', 'taquilla', **once),
        call_flow(0.5 * factor, 'logistics', 'taquilla', key='keyed', **once),
    )


def in_data_centre(plan: Deployment, data_centre: str) -> tuple[str, ...]:
    """Return the workers of a deployment in one data centre."""
    return tuple(
        name
        for pool in plan.pools
        for name, place in plan.worker_names(pool)
        if place == data_centre
    )


def wave(
    plan: Deployment,
    at: float,
    data_centre: str,
    away: float = AWAY_SECONDS,
    notice: float = NOTICE_SECONDS,
) -> list[FaultLine]:
    """Return the reclaim of a data centre's workers and their return."""
    targets = in_data_centre(plan, data_centre)
    return [
        FaultLine(
            at=at,
            fault='reclaim',
            targets=targets,
            seconds=notice,
        ),
        FaultLine(at=at + away, fault='replace', targets=targets),
    ]


def simple(at: float, fault: Any, *targets: str) -> FaultLine:
    """Return a fault without a duration."""
    return FaultLine(at=at, fault=fault, targets=targets)


def plans() -> dict[str, Plan]:
    """Return the traces that are recorded in the repository."""
    morning = [
        *wave(BROLGA, 50, 'ipswich'),
        simple(80, 'change'),
        simple(90, 'node-stop', 'gold-coast-2'),
        simple(110, 'node-start', 'gold-coast-2'),
    ]
    opening = [
        simple(30, 'store-down'),
        simple(45, 'node-kill', 'callao-3'),
        *wave(MUESTRAS, 50, 'barranco'),
        simple(85, 'store-up'),
        simple(95, 'change'),
        simple(100, 'node-start', 'callao-3'),
    ]
    double = [
        *wave(BROLGA, 30, 'ipswich'),
        *wave(BROLGA, 31.5, 'gold-coast'),
        simple(15, 'upstream-kill', 'frostmind-1'),
        simple(15.5, 'upstream-kill', 'frostmind-2'),
        simple(20, 'replace', 'frostmind-1', 'frostmind-2'),
        simple(32, 'node-kill', 'home:frostmind'),
        simple(33, 'node-kill', 'home:rinkdesk'),
        simple(50, 'node-start', 'gone'),
        simple(62, 'node-kill', 'home:frostmind'),
        simple(80, 'node-start', 'gone'),
        simple(70, 'store-lose'),
        simple(75, 'change'),
    ]
    smoke = [
        *wave(BROLGA, 1, 'ipswich', 7, 6),
        simple(3, 'change'),
        simple(4, 'node-stop', 'gold-coast-2'),
    ]
    return {
        'brolga-morning': Plan(
            BROLGA,
            140,
            brolga_flows(1),
            tuple(morning),
        ),
        'muestras-opening': Plan(
            MUESTRAS,
            140,
            muestras_flows(1),
            tuple(opening),
        ),
        'double-wave': Plan(BROLGA, 100, brolga_flows(1), tuple(double)),
        'brolga-stress': Plan(
            BROLGA,
            40,
            brolga_flows(STRESS),
            tuple(wave(scale(BROLGA, STRESS), 12, 'ipswich')),
            factor=STRESS,
        ),
        'smoke': Plan(BROLGA, 8, brolga_flows(2), tuple(smoke)),
    }


def make_requests(plan: Plan, seed: int) -> Iterator[RequestLine]:
    """Yield the requests of a plan, in no order; arrivals are Poisson."""
    rng = random.Random(seed)
    for flow in plan.flows:
        yield from make_flow(flow, plan.seconds, rng)


def make_flow(
    flow: Flow,
    seconds: float,
    rng: random.Random,
) -> Iterator[RequestLine]:
    """Yield the requests of one flow."""
    at = rng.expovariate(flow.rate)
    number = 0
    while at < seconds:
        number += 1
        fields = dict(flow.fields)
        name = f'{flow.workspace}-{flow.service}-{number}'
        if fields.get('method') == 'GET':
            name = f'{name}-get'
        if fields.get('key'):
            name = f'{name}-keyed'
            fields['key'] = name
        yield RequestLine(
            at=round(at, 3),
            workspace=flow.workspace,
            service=flow.service,
            name=name,
            document=rng.randrange(6),
            **fields,
        )
        at += rng.expovariate(flow.rate)


def make_trace(plan: Plan, seed: int) -> Trace:
    """Return the trace of a plan."""
    return Trace(
        setup=Setup(
            deployment=plan.deployment.name,
            engine=ENGINE,
            worker=WORKER,
            workers_factor=plan.factor,
        ),
        requests=tuple(in_order(make_requests(plan, seed))),
        faults=tuple(in_order(plan.faults)),
        outcomes=Outcomes(
            promises=PROMISES,
            least_answered=LEAST_ANSWERED,
        ),
    )


def in_order(rows: Iterable[Any]) -> list[Any]:
    """Return rows by time."""
    return sorted(rows, key=lambda row: row.at)
