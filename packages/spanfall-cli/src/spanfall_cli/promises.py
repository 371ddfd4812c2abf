"""Check from the outside whether a replay kept each promise.

What callers saw is compared with what the stand-ins recorded.
"""

import json
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from spanfall_core.tables import ServiceKind
from spanfall_standins.application import Application
from spanfall_standins.deployments import (
    ON_DEMAND_EVERY,
    ON_DEMAND_PRICE,
    RECLAIMABLE_PRICE,
    WORKER_SLOTS,
)
from spanfall_standins.engine import Engine
from spanfall_standins.texts import whole_text

from spanfall_cli.traces import RequestLine

#: New work to a leaving upstream ends within this time (DESIGN).
LEAVING_SECONDS = 2.0
#: First token within this time for 95 in 100 (letter 1).
FIRST_TOKEN_TARGET = 0.57
#: A request that a killed node may have touched arrived this long before.
KILL_SECONDS = 30.0

ANSWERED = 'answered'
REFUSED = 'refused'
LOST = 'lost'

Worker = Engine | Application
#: When a run began and how many tokens it computed.
TimedTokens = tuple[float, int]


@dataclass(slots=True)
class Outcome:
    """Hold what the caller of one request saw."""

    line: RequestLine
    state: str = LOST
    reason: str = ''
    run: str = ''
    text: str = ''
    detail: str = ''
    request_ids: set[str] = field(default_factory=set)
    entries: set[str] = field(default_factory=set)
    started: float = 0.0
    first_part: float | None = None
    cut_at: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Evidence:
    """Hold all that a replay left for checks."""

    outcomes: list[Outcome]
    workers: list[Worker]
    announced: dict[str, list[float]] = field(default_factory=dict)
    replaced: dict[str, list[float]] = field(default_factory=dict)
    kills: list[float] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    changes: list[tuple[str, bool]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Checked:
    """Tell how often a promise was checked and what broke it."""

    promise: str
    checked: int
    broken: list[str]


def check_all(evidence: Evidence) -> list[Checked]:
    """Return the result of each check."""
    return [
        Checked(name, checked, list(broken))
        for name, check in CHECKS.items()
        for checked, broken in (check(evidence),)
    ]


Result = tuple[int, Iterable[str]]


def check_accepted(evidence: Evidence) -> Result:
    """Check that accepted requests end with an answer.

    A call that may run only once may end as unknown after a sudden death,
    which is no announced reclaim.
    """
    broken = []
    for row in evidence.outcomes:
        is_bad = row.state == LOST or row.run == 'unknown'
        is_excused = not row.line.idempotent and was_near_kill(evidence, row)
        if is_bad and not is_excused:
            broken.append(describe(row))
    return len(evidence.outcomes), broken


def describe(row: Outcome) -> str:
    """Return what a broken request's caller saw, for the report."""
    cuts = ', '.join(row.cut_at) or 'nowhere'
    entries = ', '.join(sorted(row.entries))
    return (
        f'{row.line.name}: {row.state} {row.detail}, cut at {cuts}, '
        f'through {entries}, {len(row.text)} characters'
    )


def was_near_kill(evidence: Evidence, row: Outcome) -> bool:
    """Tell whether a node was killed while a request may have been open."""
    return any(
        row.started - 1 <= at <= row.started + KILL_SECONDS
        for at in evidence.kills
    )


def check_whole(evidence: Evidence) -> Result:
    """Check that each answer is whole and belongs to its request."""
    answered = [row for row in evidence.outcomes if row.state == ANSWERED]
    broken = (row.line.name for row in answered if not is_own(row))
    return len(answered), broken


def is_own(row: Outcome) -> bool:
    """Tell whether an answer is what the request must get."""
    if row.line.kind is ServiceKind.MODEL:
        return row.text == whole_text(
            f'user: {row.line.prompt()}', row.line.tokens
        )
    try:
        echo = json.loads(row.text)
    except ValueError:
        return False
    return bool(echo['path'] == f'/jobs/{row.line.name}')


def check_not_run(evidence: Evidence) -> Result:
    """Check that what was refused as not run has no run anywhere."""
    ran = {
        record.request_id
        for worker in evidence.workers
        for record in worker.records
    }
    refused = [row for row in evidence.outcomes if row.run == 'not-run']
    broken = (row.line.name for row in refused if row.request_ids & ran)
    return len(refused), broken


def check_once(evidence: Evidence) -> Result:
    """Check that no call that may run once ran twice."""
    runs = Counter(
        record.path
        for worker in evidence.workers
        if isinstance(worker, Application)
        for record in worker.records
    )
    once = [row for row in evidence.outcomes if not row.line.idempotent]
    paths = [f'/jobs/{row.line.name}' for row in once]
    return len(paths), (path for path in paths if runs[path] > 1)


def check_leaving(evidence: Evidence) -> Result:
    """Check that no run began long after the notice of its upstream."""
    broken = [
        f'{worker.name} got {record.request_id}'
        for worker in evidence.workers
        for record in worker.records
        if is_late(evidence, worker.name, record.at)
    ]
    return sum(map(len, evidence.announced.values())), broken


def is_late(evidence: Evidence, name: str, at: float) -> bool:
    """Tell whether a run began between a notice and the replacement."""
    for number, noticed in enumerate(evidence.announced.get(name, [])):
        back = evidence.replaced.get(name, [])[number : number + 1]
        until = back[0] if back else float('inf')
        if noticed + LEAVING_SECONDS < at < until:
            return True
    return False


def check_stop(evidence: Evidence) -> Result:
    """Check that a planned stop cut no connection without a word."""
    touched = [
        row for row in evidence.outcomes if row.entries & evidence.stopped
    ]
    broken = (
        row.line.name
        for row in touched
        if evidence.stopped.intersection(row.cut_at)
    )
    return len(touched), broken


def check_changes(evidence: Evidence) -> Result:
    """Check that accepted changes came into force and stayed."""
    broken = (name for name, held in evidence.changes if not held)
    return len(evidence.changes), broken


CHECKS: dict[str, Callable[[Evidence], Result]] = {
    'accepted-survives': check_accepted,
    'whole-own-answer': check_whole,
    'not-run-means-not-run': check_not_run,
    'at-most-once': check_once,
    'leaving-gets-no-work': check_leaving,
    'planned-stop-cuts-nothing': check_stop,
    'configuration-holds': check_changes,
}


@dataclass(frozen=True, slots=True)
class Figures:
    """Hold the measures of a replay.

    ``cost`` is price times seconds of slots; ``recomputed`` counts tokens
    that engines computed for runs after the first of a request.
    """

    answered: int
    refused: int
    in_target: int
    cost: float
    cost_per_thousand: float
    recomputed: int
    prefilled: int
    first_token_p95: float


def measure(evidence: Evidence) -> Figures:
    """Return cost at the latency target and recomputed tokens."""
    answered = [row for row in evidence.outcomes if row.state == ANSWERED]
    refused = sum(row.state == REFUSED for row in evidence.outcomes)
    firsts = sorted(
        row.first_part
        for row in answered
        if row.first_part is not None and row.line.kind is ServiceKind.MODEL
    )
    in_target = sum(
        row.first_part is not None and row.first_part <= FIRST_TOKEN_TARGET
        for row in answered
    )
    cost = sum(map(cost_of, evidence.workers))
    engines = [row for row in evidence.workers if isinstance(row, Engine)]
    p95 = firsts[int(len(firsts) * 0.95)] if firsts else 0.0
    return Figures(
        answered=len(answered),
        refused=refused,
        in_target=in_target,
        cost=round(cost, 2),
        cost_per_thousand=round(1000 * cost / max(1, in_target), 2),
        recomputed=sum(map(recomputed_of, engines_by_request(engines))),
        prefilled=sum(row.prefill_total for row in engines),
        first_token_p95=round(p95, 3),
    )


def cost_of(worker: Worker) -> float:
    """Return price times seconds of slots that runs have occupied."""
    number = int(worker.name.rpartition('-')[2])
    is_reclaimable = number % ON_DEMAND_EVERY != 0
    price = RECLAIMABLE_PRICE if is_reclaimable else ON_DEMAND_PRICE
    if isinstance(worker, Application):
        seconds = len(worker.records) * worker.speed.call_seconds
    else:
        speed = worker.speed
        seconds = sum(
            record.computed * speed.prefill_token_seconds
            + record.tokens * speed.step_seconds
            for record in worker.records
        )
    return seconds * price / WORKER_SLOTS


def engines_by_request(engines: list[Engine]) -> Iterable[list[int]]:
    """Return the computed tokens of each request's runs, by time."""
    runs: dict[str, list[TimedTokens]] = {}
    for engine in engines:
        for record in engine.records:
            row = runs.setdefault(record.request_id, [])
            row.append((record.at, record.computed))
    return ([computed for _, computed in sorted(row)] for row in runs.values())


def recomputed_of(computed: list[int]) -> int:
    """Return what the runs after the first have computed."""
    return sum(computed[1:])
