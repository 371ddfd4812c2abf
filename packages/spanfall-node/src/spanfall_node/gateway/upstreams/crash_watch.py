"""Find out at an entry whether an upstream ended under a request.

A connection that breaks may have been reset or garbled by an upstream that
lives. One whose process has ended refuses new connections, unless something
else holds its port or its host went too: then the platform's list tells later.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.crashes.crashes import Sign
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    RunStage,
    WatchedRun,
)
from spanfall_node.gateway.links.questions import Send
from spanfall_node.gateway.net.client import connect
from spanfall_node.gateway.net.errors import NobodyListensError, NotSentError
from spanfall_node.gateway.net.pool import ConnectionPool
from spanfall_node.gateway.tables.state import GatewayState

#: Seconds for the answer of a host that ended a connection a moment ago.
PROBE_TIMEOUT_SECONDS = 0.1
#: Seconds in which one that only holds the port closes what it took, and in
#: which the other connections of a process that has ended are seen to end.
CLOSE_WAIT_SECONDS = 0.03
#: Seconds without a word of an upstream after which a caller that leaves, or
#: whose time is over, may have waited for one that has ended.
MIN_SILENCE_SECONDS = 1.0
#: Requests that may wait to be examined; more are not. A probe each second of
#: each upstream is enough for all that wait there.
MAX_QUEUED_PROBES = 256
PROBE_PERIOD = 1.0
#: Seconds between two looks at the platform's list while there is a doubt.
SUSPICION_CHECK_PERIOD = 0.2


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """Hold a request that got no answer in its time."""

    identity: RequestIdentity
    upstream: ListedUpstream


@dataclass(slots=True)
class CrashDetector:
    """Examine broken sends and tell the home of them."""

    state: GatewayState
    pool: ConnectionPool
    _send: Send | None = field(default=None)
    #: What the last probe of an upstream showed, and when.
    _probe_results: dict[Lifetime, tuple[float, Sign]] = field(
        default_factory=dict
    )
    #: Requests that wait to be examined, and the event that tells of one.
    _queue: deque[UnansweredRequest] = field(default_factory=deque)
    _queue_filled: anyio.Event = field(default_factory=anyio.Event)

    def connect(self, send: Send) -> None:
        """Tell the home over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """Keep what is found until there is another link."""
        self._send = None

    async def check_broken_send(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
    ) -> None:
        """Note the end of an upstream under a request, if it has ended.

        The home knows it before it is asked for another upstream.
        """
        probe_result = await self._probe_after_break(upstream)
        if probe_result is Sign.LIVES:
            await self.report_run(identity, RunStage.OVER)
            return
        await self._record(identity, upstream, probe_result)

    def queue_unanswered(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
        last_received_at: float,
    ) -> None:
        """Have an upstream examined that a caller waited for in vain."""
        if self.state.timers.now() - last_received_at < MIN_SILENCE_SECONDS:
            return
        if len(self._queue) >= MAX_QUEUED_PROBES:
            self.state.counters.unexamined.inc()
            return
        self._queue.append(UnansweredRequest(identity, upstream))
        self._queue_filled.set()

    async def probe_unanswered(self) -> None:
        """Examine upstreams that callers waited for, until cancelled."""
        while True:
            await self._queue_filled.wait()
            while self._queue:
                unanswered = self._queue.popleft()
                probe_result = await self._probe_rate_limited(
                    unanswered.upstream
                )
                if probe_result in {Sign.ENDED, Sign.NO_ANSWER}:
                    await self._record(
                        unanswered.identity, unanswered.upstream, probe_result
                    )
            self._queue_filled = anyio.Event()

    async def resolve_suspected_crashes(self) -> None:
        """Learn which doubted upstreams have ended, until cancelled."""
        state = self.state
        while True:
            await state.crashes.doubted.wait()
            await anyio.sleep(SUSPICION_CHECK_PERIOD)
            now = state.timers.now()
            heartbeat = state.cfg.upstream_heartbeat_seconds
            state.crashes.settle(state.directory, heartbeat, now)

    async def report_run(
        self,
        identity: RequestIdentity,
        stage: RunStage,
    ) -> None:
        """Tell the home how far a request has come that is watched."""
        run = WatchedRun(identity, stage)
        self.state.crashes.note_run(run, self.state.timers.now())
        if self._send is not None:
            await self._send(run)

    async def _record(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
        probe_result: Sign,
    ) -> None:
        """Note what a sign tells, here and at the home."""
        crashes = self.state.crashes
        now = self.state.timers.now()
        lifetime = upstream.lifetime
        if probe_result is Sign.ENDED:
            crashes.note_end(identity, lifetime, now)
            report = CrashReport({identity: (lifetime,)})
        else:
            is_strong = probe_result is Sign.NO_ANSWER
            crashes.note_doubt(identity, lifetime, now, is_strong=is_strong)
            report = CrashReport(doubts={identity: {lifetime: is_strong}})
        if self._send is not None:
            await self._send(report)

    async def _probe_after_break(self, upstream: ListedUpstream) -> Sign:
        """Return what an upstream shows just after a send to it broke."""
        before = self.pool.open_connections(upstream.lifetime)
        probe_result = await _probe(upstream.address)
        if probe_result is not Sign.TAKES_CONNECTIONS:
            return probe_result
        after = self.pool.open_connections(upstream.lifetime)
        return Sign.LIVES if before & after else probe_result

    async def _probe_rate_limited(self, upstream: ListedUpstream) -> Sign:
        now = self.state.timers.now()
        lifetime = upstream.lifetime
        probed_at, probe_result = self._probe_results.get(
            lifetime, (-math.inf, Sign.LIVES)
        )
        if now - probed_at < PROBE_PERIOD:
            return probe_result
        probe_result = await _probe(upstream.address)
        self._probe_results = {
            key: row
            for key, row in self._probe_results.items()
            if now - row[0] < PROBE_PERIOD
        }
        self._probe_results[lifetime] = (now, probe_result)
        return probe_result


async def _probe(address: str) -> Sign:
    try:
        conn = await connect(address, PROBE_TIMEOUT_SECONDS)
    except NobodyListensError:
        return Sign.ENDED
    except NotSentError:
        return Sign.NO_ANSWER
    try:
        is_closed = await conn.ends_within(CLOSE_WAIT_SECONDS)
    finally:
        await conn.close()
    return Sign.NO_ANSWER if is_closed else Sign.TAKES_CONNECTIONS
