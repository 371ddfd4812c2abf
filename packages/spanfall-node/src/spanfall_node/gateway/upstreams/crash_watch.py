"""Find out at an entry whether an upstream ended under a request.

A connection that breaks may have been reset or garbled by an upstream that
lives. One whose process has ended refuses new connections, unless something
else holds its port or its host went too: then the platform's list tells later.
"""

import math
from collections import deque
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.crashes.crashes import ProbeResult
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
PROBE_SECONDS = 0.1
#: Seconds in which one that only holds the port closes what it took, and in
#: which the other connections of a process that has ended are seen to end.
CLOSE_SECONDS = 0.03
#: Seconds without a word of an upstream after which a caller that leaves, or
#: whose time is over, may have waited for one that has ended.
SILENT_SECONDS = 1.0
#: Requests that may wait to be examined; more are not. A probe each second of
#: each upstream is enough for all that wait there.
MOST_WAITING = 256
PROBE_PERIOD = 1.0
#: Seconds between two looks at the platform's list while there is a doubt.
SETTLE_PERIOD = 0.2


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Hold a request that got no answer in its time."""

    identity: RequestIdentity
    upstream: ListedUpstream


@dataclass(slots=True)
class CrashWatch:
    """Examine broken sends and tell the home of them."""

    state: GatewayState
    pool: ConnectionPool
    _send: Send | None = field(default=None)
    #: What the last probe of an upstream showed, and when.
    _probed: dict[Lifetime, tuple[float, ProbeResult]] = field(
        default_factory=dict
    )
    #: Requests that wait to be examined, and the event that tells of one.
    _waiting: deque[Unanswered] = field(default_factory=deque)
    _is_waiting: anyio.Event = field(default_factory=anyio.Event)

    def connect(self, send: Send) -> None:
        """Tell the home over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """Keep what is found until there is another link."""
        self._send = None

    async def examine(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
    ) -> None:
        """Note the end of an upstream under a request, if it has ended.

        The home knows it before it is asked for another upstream.
        """
        sign = await self._look(upstream)
        if sign is ProbeResult.ALIVE:
            await self.note_run(identity, RunStage.OVER)
            return
        await self._note(identity, upstream, sign)

    def note_unanswered(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
        heard_at: float,
    ) -> None:
        """Have an upstream examined that a caller waited for in vain."""
        if self.state.timers.now() - heard_at < SILENT_SECONDS:
            return
        if len(self._waiting) >= MOST_WAITING:
            self.state.counters.unexamined.inc()
            return
        self._waiting.append(Unanswered(identity, upstream))
        self._is_waiting.set()

    async def examine_unanswered(self) -> None:
        """Examine upstreams that callers waited for, until cancelled."""
        while True:
            await self._is_waiting.wait()
            while self._waiting:
                waited = self._waiting.popleft()
                sign = await self._probe_rarely(waited.upstream)
                if sign in {ProbeResult.ENDED, ProbeResult.NO_ANSWER}:
                    await self._note(waited.identity, waited.upstream, sign)
            self._is_waiting = anyio.Event()

    async def settle_doubts(self) -> None:
        """Learn which doubted upstreams have ended, until cancelled."""
        state = self.state
        while True:
            await state.crashes.doubted.wait()
            await anyio.sleep(SETTLE_PERIOD)
            now = state.timers.now()
            heartbeat = state.cfg.upstream_heartbeat_seconds
            state.crashes.settle(state.directory, heartbeat, now)

    async def note_run(
        self,
        identity: RequestIdentity,
        stage: RunStage,
    ) -> None:
        """Tell the home how far a request has come that is watched."""
        run = WatchedRun(identity, stage)
        self.state.crashes.note_run(run, self.state.timers.now())
        if self._send is not None:
            await self._send(run)

    async def _note(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
        sign: ProbeResult,
    ) -> None:
        """Note what a sign tells, here and at the home."""
        crashes = self.state.crashes
        now = self.state.timers.now()
        lifetime = upstream.lifetime
        if sign is ProbeResult.ENDED:
            crashes.note_end(identity, lifetime, now)
            report = CrashReport({identity: (lifetime,)})
        else:
            is_strong = sign is ProbeResult.NO_ANSWER
            crashes.note_doubt(identity, lifetime, now, is_strong=is_strong)
            report = CrashReport(doubts={identity: {lifetime: is_strong}})
        if self._send is not None:
            await self._send(report)

    async def _look(self, upstream: ListedUpstream) -> ProbeResult:
        """Return what an upstream shows just after a send to it broke."""
        before = self.pool.open_connections(upstream.lifetime)
        sign = await _probe(upstream.address)
        if sign is not ProbeResult.ACCEPTS_CONNECTIONS:
            return sign
        after = self.pool.open_connections(upstream.lifetime)
        return ProbeResult.ALIVE if before & after else sign

    async def _probe_rarely(self, upstream: ListedUpstream) -> ProbeResult:
        now = self.state.timers.now()
        lifetime = upstream.lifetime
        probed_at, sign = self._probed.get(
            lifetime, (-math.inf, ProbeResult.ALIVE)
        )
        if now - probed_at < PROBE_PERIOD:
            return sign
        sign = await _probe(upstream.address)
        self._probed = {
            key: row
            for key, row in self._probed.items()
            if now - row[0] < PROBE_PERIOD
        }
        self._probed[lifetime] = (now, sign)
        return sign


async def _probe(address: str) -> ProbeResult:
    try:
        conn = await connect(address, PROBE_SECONDS)
    except NobodyListensError:
        return ProbeResult.ENDED
    except NotSentError:
        return ProbeResult.NO_ANSWER
    try:
        is_closed = await conn.ends_within(CLOSE_SECONDS)
    finally:
        await conn.close()
    return (
        ProbeResult.NO_ANSWER if is_closed else ProbeResult.ACCEPTS_CONNECTIONS
    )
