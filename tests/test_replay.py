"""Check that a replay keeps its promises, and that its checks can fail."""

import json
from pathlib import Path

import anyio
import pytest
from click.testing import CliRunner
from spanfall_cli.generator import make_trace, plans
from spanfall_cli.main import EXIT_BROKEN, main
from spanfall_cli.promises import (
    Evidence,
    Outcome,
    check_all,
)
from spanfall_cli.replay import run_replay
from spanfall_cli.traces import RequestLine, read_trace
from spanfall_core.tables import ServiceKind
from spanfall_standins.application import (
    Application,
    CallRecord,
    WorkerSpeed,
)

TRACES = Path(__file__).parent.parent / 'traces'
SEED = 1


@pytest.mark.parametrize('name', list(plans()))
def test_traces_are_what_the_generator_makes(name: str) -> None:
    assert read_trace(TRACES / name) == make_trace(plans()[name], SEED)


def test_smoke_trace_keeps_all_promises() -> None:
    report = anyio.run(run_replay, read_trace(TRACES / 'smoke'))
    assert report.kept(), json.dumps(report.document(), indent=2)
    assert all(
        row.checked
        for row in report.checks
        if row.promise != 'not-run-means-not-run'
    )


def test_broken_promise_ends_with_its_exit_code() -> None:
    arguments = [
        'trace',
        'replay',
        str(TRACES / 'smoke'),
        '--off',
        'leaving-notice',
        '--output',
        'json',
    ]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == EXIT_BROKEN
    found = json.loads(result.stdout)['promises']
    assert found['leaving-gets-no-work']['broken'] > 0


def call_line(name: str) -> RequestLine:
    """Return a call that may run once."""
    return RequestLine(
        at=0,
        workspace='drivers',
        service='rinkdesk',
        kind=ServiceKind.APPLICATION,
        name=name,
        idempotent=False,
    )


def test_each_check_can_fail() -> None:
    """Give the checks evidence of each broken promise."""
    worker = Application('rinkdesk-1', WorkerSpeed())
    worker.records = [
        CallRecord('r1', '', 'POST', '/jobs/a', at=1),
        CallRecord('r1', '', 'POST', '/jobs/a', at=9),
    ]
    lost = Outcome(call_line('a'), request_ids={'r1'})
    lost.entries = {'north-1'}
    lost.cut_at = ['north-1']
    wrong = Outcome(call_line('b'), state='answered', text='{"path": "/x"}')
    denied = Outcome(call_line('c'), state='refused', run='not-run')
    denied.request_ids = {'r1'}
    evidence = Evidence(
        [lost, wrong, denied],
        [worker],
        announced={'rinkdesk-1': [2]},
        stopped={'north-1'},
        changes=[('step-1', False)],
    )
    found = {row.promise: len(row.broken) for row in check_all(evidence)}
    assert found == {
        'accepted-survives': 1,
        'whole-own-answer': 1,
        'not-run-means-not-run': 1,
        'at-most-once': 1,
        'leaving-gets-no-work': 1,
        'planned-stop-cuts-nothing': 1,
        'configuration-holds': 1,
    }
