"""Let requests compete for one upstream of a few gateways."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import count

import anyio
from gateway_world import SERVICE, ask
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

#: Requests that the upstream of ``add_upstream`` runs at once.
SLOTS = 4
#: Longest time until an answer that a route of these tests allows.
TIMEOUT = 5.0


@dataclass(slots=True)
class Gate:
    """Hold the runs of an upstream until they may end."""

    opened: anyio.Event = field(default_factory=anyio.Event)
    running: int = 0
    most_running: int = 0
    seconds: float = TIMEOUT

    async def run(self, upstream, request, stream):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            with anyio.move_on_after(self.seconds):
                await self.opened.wait()
        finally:
            self.running -= 1
        answer = complete_response(body=request.body)
        return await answer(upstream, request, stream)


def turn_on(*states):
    for state in states:
        state.scheduling.cfg = SchedulingSettings(contention=Mode.ON)


def home_among(states):
    holders = [row for row in states if row.is_home(row.timers.now())]
    return holders[0] if len(holders) == 1 else None


async def add_fleet(world, size, **bounds):
    """Start gateways; return the home and the others, linked to it."""
    states = [await world.add_gateway(**bounds) for _ in range(size)]
    await wait_until(lambda: home_among(states) is not None)
    home = home_among(states)
    others = [row for row in states if row is not home]
    await wait_until(lambda: all(is_linked(row) for row in others))
    turn_on(*states)
    return home, others


def is_linked(state):
    return state.contention.home_found.is_set()


def held_at(home):
    return sum(len(row.queue) for row in home.contention.services.values())


def running_by(home):
    """Return the requests that run, by the counts of the home."""
    home.record_own_load(home.timers.now())
    return sum(home.grant_book.running.values())


def runs_of(upstream):
    return Counter(one.headers['attempt'] for one in upstream.received_requests)


class Callers:
    """Send requests side by side and keep their answers."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.answers = {}
        self.numbers = count(1)

    def send(self, state, path='/any/1', **fields):
        attempt = f'a{next(self.numbers)}'

        async def run():
            self.answers[attempt] = await ask(
                state, path, attempt=attempt, body=attempt.encode(), **fields
            )

        self.tasks.start_soon(run)
        return attempt

    def statuses(self):
        return Counter(answer.status for answer in self.answers.values())

    async def all_answered(self, sent):
        await wait_until(lambda: len(self.answers) == sent)


async def fill_and_hold(world, callers, state, gate, held, home, path='/any/1'):
    """Fill all slots of one upstream, and let more requests be held."""
    upstream = await world.add_upstream(gate.run)
    await wait_until(lambda: state.directory.serving(SERVICE))
    await wait_until(lambda: home.directory.serving(SERVICE))
    for _ in range(SLOTS):
        callers.send(state, path)
    await wait_until(lambda: gate.running == SLOTS)
    await wait_until(lambda: running_by(home) == SLOTS)
    for _ in range(held):
        callers.send(state, path)
    await wait_until(lambda: held_at(home) == held)
    return upstream
