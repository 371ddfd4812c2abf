"""Test drawn courses of load and faults against the promises to callers.

CI plays one seed in about a minute; play others by hand, one after another:

    SOAK_SEEDS=1:20 .venv/bin/pytest tests/test_gateway_soak.py
"""

import logging
import os
import traceback
from collections import Counter

import anyio
import pytest
from gateway_world import Answer, in_world
from soak_faults import inject_faults, quiet_links
from soak_world import (
    ROUTES,
    Call,
    Course,
    Sent,
    broken_promises,
)
from spanfall_core.gateway.routing.sends import NextStep

logger = logging.getLogger(__name__)

SEEDS = range(*map(int, os.environ.get('SOAK_SEEDS', '0:1').split(':')))
#: Seconds for which load and faults are drawn.
SECONDS = 40.0
#: Seconds of load before the first fault and after the last one begins.
CALM_SECONDS = 2.0
ONCE, ANY, _ = ROUTES


def clear_sockets(row):
    """Let a logged error keep no variables, and so no socket.

    A connection that asyncio accepts as the gateway is cancelled is held by
    nothing but the traceback of its error; a killed process would close it.
    """
    if row.exc_info:
        traceback.clear_frames(row.exc_info[2])
    return True


def answer_of(status, body=b'', **headers):
    """Return a complete answer."""
    rows = {name.replace('_', '-'): text for name, text in headers.items()}
    return Answer(status, rows, body, complete=True)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_drawn_course_keeps_the_promises(seed, monkeypatch, caplog):
    silent = set()
    quiet_links(monkeypatch, silent)
    asyncio_logger = logging.getLogger('asyncio')
    monkeypatch.setattr(asyncio_logger, 'filters', [clear_sockets])

    @in_world
    async def play(world):
        course = Course(world, seed, silent)
        await course.start()
        async with anyio.create_task_group() as lasting:
            lasting.start_soon(course.measure_lag)
            until = anyio.current_time() + SECONDS
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(course.load, until)
                await anyio.sleep(CALM_SECONDS)
                await inject_faults(course, until - CALM_SECONDS)
            await course.check_served()
            lasting.cancel_scope.cancel()
        course.judge()
        seen = Counter(row.answer.status for row in course.sent if row.answer)
        logger.info('Seed %s: %s, held up %.1f s', seed, seen, course.lag)
        assert not course.broken

    play()
    # Accepts that are cancelled as a gateway is killed are errors of asyncio.
    errors = {row.name for row in caplog.records if row.levelname == 'ERROR'}
    assert errors <= {'asyncio'}


@pytest.mark.parametrize(
    ('route', 'answer', 'runs', 'late', 'told'),
    [
        (ONCE, answer_of(200, b'x'), 2, 0, 'ran 2 times'),
        (ANY, answer_of(200, b'x'), 3, 0, 'ran 3 times'),
        (ANY, None, 0, 0, 'neither answered nor closed'),
        (ANY, answer_of(200, b'x'), 1, 0.6, 'ended 0.60 s late'),
        (ANY, answer_of(404), 0, 0, 'got 404'),
        (ANY, answer_of(200, b'y'), 1, 0, 'got the answer to another request'),
        (ONCE, answer_of(503, retry_after='1'), 1, 0, 'ran and got 503'),
        (ANY, answer_of(429), 0, 0, 'got 429 without a Retry-After'),
    ],
)
def test_the_judge_sees(route, answer, runs, late, told):
    sent = Sent('a', Call(route, 'small', b'x', 1), answer, late)
    assert list(broken_promises(sent, runs)) == [told]


def test_a_second_run_is_seen(monkeypatch):
    """A gateway that sends everything again breaks the course."""
    monkeypatch.setattr(
        'spanfall_node.gateway.upstreams.relay.next_step',
        lambda *_: NextStep.SEND_AGAIN,
    )

    @in_world
    async def play(world):
        course = Course(world, 0, set())
        await course.start()
        first = next(iter(world.upstreams.values()))
        async with anyio.create_task_group() as tasks:
            for number in range(12):
                call = Call(ONCE, 'large', b'%d' % number, ONCE.timeout)
                state = course.gateways[0].state
                tasks.start_soon(course.attempt, state, call)
            while not first.received_requests:
                await anyio.sleep(0.01)
            first.process_scope.cancel()
        course.judge()
        assert any('ran 2 times' in text for text in course.broken)

    play()
