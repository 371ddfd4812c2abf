"""Take no more new connections than the node can serve in time."""

import socket
from collections import deque
from dataclasses import dataclass, field
from random import Random

import anyio
import pytest
from gateway_world import dial, in_world, read_answer, request_bytes
from spanfall_core.gateway.limits.intake import (
    MAX_DELAY,
    MIN_RATE,
    SAMPLE_PERIOD,
    STANDING_SAMPLES,
    Intake,
)
from spanfall_standins.gateway.upstream import complete_response

#: Processor seconds of a request, of a connection that is closed unread, and
#: seconds after which a caller leaves.
COST = 0.003
CLOSE_COST = 0.0002
PATIENCE = 2.0
CAPACITY = 1 / COST
STEP = 0.001
#: Seconds of a course, and those at its start that are not judged.
SECONDS = 12
JUDGED_FROM = 3.0
#: Connections that wait to be accepted.
WAITING = 40


class NoIntake(Intake):
    """Take each connection."""

    def takes(self, now):
        """Return True."""
        return True


@dataclass
class Node:
    """Model one processor that handles connections in the order of arrival.

    Requests are processed also if their callers have left meanwhile.
    """

    intake: Intake
    is_home: bool = False
    queue: deque = field(default_factory=deque)
    busy_until: float = 0
    sampled_at: float = 0
    served: int = 0

    def arrive(self, now):
        """Let a connection arrive; decide whether it is read."""
        is_read = self.intake.takes(now)
        self.queue.append((now, COST if is_read else CLOSE_COST, is_read))

    def step(self, now):
        """Process what is due; sample the load now and then."""
        while self.queue and self.busy_until <= now:
            arrived, cost, is_read = self.queue.popleft()
            self.busy_until = max(self.busy_until, arrived) + cost
            is_in_time = self.busy_until - arrived <= PATIENCE
            if is_read and is_in_time and arrived > JUDGED_FROM:
                self.served += 1
        if now - self.sampled_at >= SAMPLE_PERIOD:
            self.sampled_at = now
            delay = sum(cost for _, cost, _ in self.queue)
            self.intake.sample(delay, now, is_home=self.is_home)


def play(intake, load, *, is_home=False):
    """Return the answers in time per second; a fifth of the load is usual."""
    rng = Random(1)
    node = Node(intake, is_home)
    now = 0.0
    while now < SECONDS:
        now += STEP
        offered = load if now > 1 else load / 5
        if rng.random() < offered * STEP:
            node.arrive(now)
        node.step(now)
    return node.served / (SECONDS - JUDGED_FROM)


# Guards against a node that reads more than it can serve and answers nothing
# in time, while other nodes are idle.
@pytest.mark.parametrize('multiple', (1.5, 2.5, 4))
@pytest.mark.parametrize('is_home', (False, True))
def test_overloaded_node_serves_near_its_capacity(multiple, is_home):
    load = multiple * CAPACITY
    assert play(NoIntake(), load) < 0.5 * CAPACITY
    usable = CAPACITY * (1 - (load - CAPACITY) * CLOSE_COST)
    assert play(Intake(), load, is_home=is_home) > 0.75 * usable


@pytest.mark.parametrize('fraction', (0.2, 0.5, 0.8))
def test_node_below_its_capacity_takes_all(fraction):
    intake = Intake()
    load = fraction * CAPACITY
    assert play(intake, load) == pytest.approx(load, rel=0.1)
    assert intake.rate is None


def test_single_pauses_close_nothing():
    intake = Intake()
    for number in range(40):
        delay = 0.5 if number % STANDING_SAMPLES == 0 else 0
        intake.sample(delay, number * SAMPLE_PERIOD, is_home=True)
        assert intake.rate is None


# Guards against a node that says that it is ready and takes no connection.
def test_some_connections_are_taken_at_any_load():
    intake = Intake()
    taken = []
    for number in range(600):
        now = number * SAMPLE_PERIOD / 2
        intake.sample(10 * MAX_DELAY, now, is_home=False)
        if intake.takes(now):
            taken.append(now)
    gaps = [late - early for early, late in zip(taken, taken[1:], strict=False)]
    assert max(gaps) <= 2 / MIN_RATE


# Guards against a request that is read and then neither answered nor refused.
@in_world
async def test_request_of_a_closed_connection_is_unread(world):
    """A request that has arrived before its connection is accepted."""
    state = await world.add_gateway()
    host, _, port = state.cfg.listen.callers.rpartition(':')
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Intake, 'takes', lambda *_: False)
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(request_bytes('/once/1'))
            await anyio.wait_readable(caller)
            # The system resets a connection that is closed with unread data.
            with pytest.raises(ConnectionResetError):
                caller.recv(1)


def test_closed_connection_was_not_read(monkeypatch):
    """Kept connections go on, and readiness does not follow the load."""

    @in_world
    async def run(world):
        upstream = await world.add_upstream(complete_response())
        state = await world.add_gateway()
        async with await dial(state.cfg.listen.callers) as kept:
            await kept.send(request_bytes('/once/1', attempt='k1'))
            assert (await read_answer(kept)).status == 200
            monkeypatch.setattr(Intake, 'takes', lambda *_: False)
            async with await dial(state.cfg.listen.callers) as new:
                with pytest.raises(
                    (anyio.EndOfStream, anyio.BrokenResourceError)
                ):
                    await new.send(request_bytes('/once/2', attempt='n1'))
                    await new.receive()
            await kept.send(request_bytes('/once/3', attempt='k2'))
            assert (await read_answer(kept)).status == 200
        assert state.is_ready(state.timers.now())
        attempts = [
            one.headers['attempt'] for one in upstream.received_requests
        ]
        assert attempts == ['k1', 'k2']
        read = state.counters.registry.get_sample_value
        assert read('spanfall_closed_unread_total') == 1

    run()
