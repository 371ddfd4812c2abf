"""Play drawn courses of load and faults on a fleet, and judge what is seen."""

from collections import Counter
from copy import copy
from dataclasses import dataclass, field
from itertools import count
from random import Random

import anyio
from contention_world import held_at, home_among, is_linked
from gateway_world import Answer, World, ask, route
from retry_checker import Seen, worst_use
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_core.gateway.routing.retry_budget import RetryLimits
from spanfall_node.gateway.requests.refusals import NOT_RUN_STATUSES
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_standins.gateway.dialect import PlainRoute, PlainWorkspace
from spanfall_standins.gateway.server import encode_response, start_server
from spanfall_standins.gateway.upstream import refused
from support import wait_until
from test_gateway_succession import StoreGate

GATEWAYS = 3
UPSTREAMS = 3
ROUTES = (
    route('/once/', RouteKind.NON_IDEMPOTENT, timeout=3, key=True),
    route('/any/', RouteKind.IDEMPOTENT, timeout=2, key=True),
    route('/urgent/', RouteKind.IDEMPOTENT, timeout=1, target=0.5, key=True),
)
WORKSPACES = ('large', 'small')
#: Requests a second of a workspace, 0 for any: during load, and afterwards.
LIMITS = (0, 0, 30)
NO_LIMIT = (0,)
RETRY_LIMITS = RetryLimits(ratio=0.2, allowance=15, window=10)
#: Seconds past the deadline within which the platform wants an answer.
ALLOWANCE = 0.5
#: Seconds past the deadline after which a caller stops reading.
HANG_SECONDS = 5.0
#: Seconds after load and faults within which memory is free and all is served.
RECOVERY_SECONDS = 15.0
LAG_PERIOD = 0.05
#: Statuses that callers with a known route and key may get; 0: the connection
#: ended.
STATUSES = frozenset((0, 200, 429, 502, 503, 504))
ENDED = Answer(0, {}, b'', complete=False)


@dataclass(frozen=True, slots=True)
class Call:
    """Hold what one caller is going to do."""

    route: PlainRoute
    workspace: str
    body: bytes
    #: Seconds that it gives each attempt, and after which it leaves.
    seconds: float
    leaves_after: float = 2 * HANG_SECONDS
    #: How often it comes back as told.
    returns: int = 0


@dataclass(frozen=True, slots=True)
class Sent:
    """Hold what one caller saw of one attempt."""

    attempt: str
    call: Call
    #: Nothing if the caller gave up reading.
    answer: Answer | None
    #: Seconds past its deadline, less those for which the process was held up.
    late: float = 0


def broken_promises(sent, runs):
    """Yield which promises were broken for an attempt that ran ``runs`` times."""
    answer, known = sent.answer, sent.call.route
    most = 1 if known.kind is RouteKind.NON_IDEMPOTENT else known.most
    if runs > most:
        yield f'ran {runs} times'
    if answer is None:
        yield 'neither answered nor closed'
        return
    if sent.late > ALLOWANCE:
        yield f'ended {sent.late:.2f} s late'
    if answer.status not in STATUSES:
        yield f'got {answer.status}'
    is_served = answer.complete and answer.status == 200
    if is_served and answer.body != sent.call.body:
        yield 'got the answer to another request'
    if answer.status in NOT_RUN_STATUSES:
        if runs:
            yield f'ran and got {answer.status}'
        if not told_seconds(answer):
            yield f'got {answer.status} without a Retry-After'


def told_seconds(answer):
    return float(answer.headers.get('retry-after', '0'))


def memory_of(state):
    """Return the requests that a gateway remembers as open or held."""
    own = state.contention
    waiting = (own.held, own.own_held, own.withdrawn)
    running = (+state.loads.running).total()
    return (
        held_at(state) + sum(map(len, waiting)) + running + state.open_requests
    )


@dataclass(slots=True)
class Running:
    """Hold a gateway, its life and its way to the store."""

    state: GatewayState
    life: anyio.CancelScope
    store_gate: StoreGate


@dataclass(slots=True)
class Course:
    """Hold a fleet and what its callers saw in one course."""

    world: World
    seed: int
    #: Keys of homes that are cut off from their entries.
    silent: set[str]
    gateways: list[Running] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    mode: Mode = Mode.ON
    #: Seconds for which the process was held up until now.
    lag: float = 0
    outages: int = 0
    #: Gateways that are being started, and lifetimes of upstreams that leave.
    starting: int = 0
    ending: set[str] = field(default_factory=set)
    numbers: count = field(default_factory=count)
    seen: Seen = field(default_factory=Seen)
    #: Faults by which upstreams reject all, and arrivals that they rejected.
    rejecting: int = 0
    rejected: Counter[str] = field(default_factory=Counter)

    async def start(self):
        self.world.is_settled = False
        self.configure(Random(self.seed), LIMITS)
        for _ in range(UPSTREAMS):
            await self.add_upstream()
        await self.start_gateways()

    async def start_gateways(self):
        missing = GATEWAYS - len(self.gateways) - self.starting
        self.starting += missing
        async with anyio.create_task_group() as tasks:
            for _ in range(missing):
                tasks.start_soon(self._add_gateway)

    async def _add_gateway(self):
        own = copy(self.world)
        gate = StoreGate(own.store)
        own.store_address = await start_server(own.tasks, gate.answer)
        life = anyio.CancelScope()
        state = await own.add_killable_gateway(
            life,
            retry_ratio=RETRY_LIMITS.ratio,
            retry_allowance=RETRY_LIMITS.allowance,
            retry_window_seconds=RETRY_LIMITS.window,
        )
        self.starting -= 1
        self.gateways.append(Running(state, life, gate))
        self.switch(self.mode)

    async def add_upstream(self):
        rng = Random(f'{self.seed}/{len(self.world.upstreams)}')
        reject = refused(429)

        async def run(upstream, request, stream):
            attempt = request.headers['attempt']
            self.seen.arrive(attempt, anyio.current_time())
            if self.rejecting:
                self.rejected[attempt] += 1
                return await reject(upstream, request, stream)
            await anyio.sleep(rng.uniform(0.1, 0.5))
            headers = upstream.response_headers(request)
            await stream.send(encode_response(200, request.body, headers))
            return True

        await self.world.add_upstream(run)

    def configure(self, rng, limits):
        """Write a configuration with drawn limits, weights and priorities."""
        workspaces = [
            PlainWorkspace(
                key, [key], rng.choice(limits), 40, rng.choice((0, 1))
            )
            for key in WORKSPACES
        ]
        self.world.configure(routes=list(ROUTES), workspaces=workspaces)

    def switch(self, mode):
        self.mode = mode
        for row in self.gateways:
            row.state.scheduling.cfg = SchedulingSettings(contention=mode)

    def home(self):
        found = home_among([row.state for row in self.gateways])
        homes = (row for row in self.gateways if row.state is found)
        return next(homes, None)

    async def measure_lag(self):
        while True:
            due_at = anyio.current_time() + LAG_PERIOD
            await anyio.sleep(LAG_PERIOD)
            self.lag += anyio.current_time() - due_at

    async def attempt(self, state, call):
        name = f'{self.seed}-{next(self.numbers)}'
        held_up, began_at = self.lag, anyio.current_time()
        self.seen.sent_at.append(began_at)
        patience = call.seconds + HANG_SECONDS
        answer = None
        with anyio.move_on_after(min(patience, call.leaves_after)):
            answer = await _ask_or_end(state, name, call)
        passed = anyio.current_time() - began_at - (self.lag - held_up)
        if answer is None and call.leaves_after < patience:
            self.sent.append(Sent(name, call, ENDED))
        else:
            late = passed - call.seconds
            self.sent.append(Sent(name, call, answer, late))
        return answer

    async def call(self, rng, call):
        """Send a call, and once more each time it is told when to."""
        for _ in range(call.returns + 1):
            if not self.gateways:
                return
            answer = await self.attempt(rng.choice(self.gateways).state, call)
            if answer is None or answer.status not in NOT_RUN_STATUSES:
                return
            await anyio.sleep(told_seconds(answer))

    async def load(self, until):
        rng = Random(f'{self.seed}/load')
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                rate = rng.choice((10, 40, 80))
                for _ in range(rate * 2):
                    drawn = self._draw_call(rng)
                    tasks.start_soon(self.call, Random(rng.random()), drawn)
                    await anyio.sleep(rng.expovariate(rate))

    def _draw_call(self, rng):
        chosen = rng.choice(ROUTES)
        return Call(
            chosen,
            rng.choices(WORKSPACES, (3, 1))[0],
            b'body %d' % next(self.numbers),
            rng.choice((chosen.timeout, chosen.timeout, 0.6)),
            rng.uniform(0, 1) if rng.random() < 0.1 else 2 * HANG_SECONDS,
            rng.choice((0, 2)),
        )

    async def check_served(self):
        """Check that memory is free, and that each gateway serves all."""
        self.configure(Random(self.seed), NO_LIMIT)
        try:
            with anyio.fail_after(RECOVERY_SECONDS):
                await wait_until(self._is_calm)
        except TimeoutError:
            rows = [row.state for row in self.gateways]
            left = [
                (row.cfg.node, memory_of(row), row.version, is_linked(row))
                for row in rows
            ]
            home = home_among(rows)
            name = home.cfg.node if home else None
            self.broken.append(f'not calm again: {left}, home {name}')
            return
        first = len(self.sent)
        for row in self.gateways:
            for known, key in zip(ROUTES, WORKSPACES * 2, strict=False):
                await self.attempt(
                    row.state, Call(known, key, b'last', known.timeout)
                )
        self.broken.extend(
            f'{seen.attempt} was not served again: {seen.answer}'
            for seen in self.sent[first:]
            if seen.answer is None or seen.answer.status != 200
        )

    def _is_calm(self):
        version = self.world.configuration.version
        return self.home() is not None and all(
            not memory_of(row.state)
            and row.state.version == version
            and is_linked(row.state)
            for row in self.gateways
        )

    def judge(self):
        """Add the promises that were broken for single attempts."""
        runs = Counter(
            one.headers['attempt']
            for upstream in self.world.upstreams.values()
            for one in upstream.received_requests
        )
        runs -= self.rejected
        use = worst_use(self.seen, RETRY_LIMITS)
        if use > 1:
            self.broken.append(f'retried {use:.2f} of the budget')
        for sent in self.sent:
            self.broken.extend(
                f'{sent.attempt} {sent.call.route.name} {text}'
                for text in broken_promises(sent, runs[sent.attempt])
            )


async def _ask_or_end(state, name, call):
    """Ask a gateway once; a connection that is refused counts as ended."""
    fields = {
        'attempt': name,
        'body': call.body,
        'authorization': f'Key {call.workspace}',
        'left_ms': str(round(call.seconds * 1000)),
    }
    try:
        return await ask(state, call.route.prefix, **fields)
    except (OSError, anyio.BrokenResourceError):
        return ENDED
