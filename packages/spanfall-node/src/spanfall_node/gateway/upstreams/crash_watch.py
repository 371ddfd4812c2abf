"""Detect at an entry whether an upstream crashed while running a request.

A broken connection may have been reset or garbled by an upstream that is still
alive. An upstream whose process has ended refuses new connections, unless
something else holds its port or its host is down too: then the platform's list
of upstreams shows the crash later.
"""

import math
from collections import deque
from dataclasses import dataclass, field, replace
from types import MappingProxyType

import anyio
from spanfall_core.gateway.crashes.evidence import BrokenRun, CrashSign
from spanfall_core.gateway.crashes.standings import ProbeResult
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    RunStage,
    WatchedRun,
)
from spanfall_node.gateway.links.pending_requests import Send
from spanfall_node.gateway.net.errors import (
    NobodyListensError,
    NotSentError,
    PathUnknownError,
)
from spanfall_node.gateway.net.idle_connections import closes_within
from spanfall_node.gateway.net.pool import ConnectionPool, Dial
from spanfall_node.gateway.tables.state import GatewayState

#: Timeout in seconds of a probe connection to a host that was just reachable.
PROBE_TIMEOUT_SECONDS = 0.1
#: Seconds within which a process that only holds the port closes an accepted
#: connection, and within which the other connections of an ended process close.
CLOSE_WAIT_SECONDS = 0.03
#: Seconds without data from an upstream after which a caller that disconnects,
#: or whose deadline passes, may have waited for a crashed upstream.
MIN_SILENCE_SECONDS = 1.0
#: Maximum unanswered requests queued for a probe; further ones are not probed.
MAX_QUEUED_PROBES = 256
#: Seconds for which the result of a probe stands for all queued requests of its
#: upstream.
PROBE_PERIOD = 1.0
#: Signs of an end by what a probe says.
SIGNS = MappingProxyType(
    {
        ProbeResult.ENDED: CrashSign.ENDED,
        ProbeResult.NO_ANSWER: CrashSign.STRONG,
        ProbeResult.ACCEPTS_CONNECTIONS: CrashSign.WEAK,
    }
)
#: Seconds between two checks of the platform's list while a crash is suspected.
SUSPICION_CHECK_PERIOD = 0.2


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """Hold a run whose upstream did not respond in time."""

    run: BrokenRun
    upstream: ListedUpstream


@dataclass(slots=True)
class CrashDetector:
    """Probe upstreams after failed sends and report crashes to the home."""

    state: GatewayState
    pool: ConnectionPool
    #: Opens a connection to an upstream, directly or through a peer.
    dial: Dial
    _send: Send | None = field(default=None)
    #: Time and result of the last probe of each upstream.
    _probe_results: dict[Lifetime, tuple[float, ProbeResult]] = field(
        default_factory=dict
    )
    #: Requests whose upstream is to be probed, and the event set by a new one.
    _queue: deque[UnansweredRequest] = field(default_factory=deque)
    _queue_filled: anyio.Event = field(default_factory=anyio.Event)

    def connect(self, send: Send) -> None:
        """Report to the home over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """Stop reporting until another link connects; keep recording locally."""
        self._send = None

    async def check_broken_send(
        self, run: BrokenRun, upstream: ListedUpstream
    ) -> bool:
        """Probe an upstream whose send broke, and record a crash if it ended.

        The home receives the report before a request for another upstream.
        Returns whether the break says something of the upstream, and not only
        of the path to it.
        """
        probe_result = await self._probe_after_break(upstream)
        if probe_result in {ProbeResult.ALIVE, ProbeResult.NO_PATH}:
            await self.report_run(WatchedRun(run.identity, RunStage.INCOMPLETE))
        else:
            await self._record(run, probe_result)
        return probe_result is not ProbeResult.NO_PATH

    async def still_runs(self, upstream: ListedUpstream) -> bool:
        """Tell whether an upstream accepts connections after it closed one.

        One that is leaving may exit right after its last response.
        """
        row = self.state.directory.rows.get(upstream.lifetime)
        if row is None or row.is_leaving:
            return True
        return await self.pool.replace_closed(
            upstream.lifetime, upstream.address, PROBE_TIMEOUT_SECONDS
        )

    def queue_unanswered(
        self,
        run: BrokenRun,
        upstream: ListedUpstream,
        last_received_at: float,
    ) -> None:
        """Queue a probe of an upstream that did not respond to a request."""
        if self.state.timers.now() - last_received_at < MIN_SILENCE_SECONDS:
            return
        if len(self._queue) >= MAX_QUEUED_PROBES:
            self.state.counters.unexamined_requests.inc()
            return
        self._queue.append(UnansweredRequest(run, upstream))
        self._queue_filled.set()

    async def probe_unanswered(self) -> None:
        """Probe the upstreams of queued requests, until cancelled."""
        while True:
            await self._queue_filled.wait()
            while self._queue:
                unanswered = self._queue.popleft()
                probe_result = await self._probe_rate_limited(
                    unanswered.upstream
                )
                if probe_result in {ProbeResult.ENDED, ProbeResult.NO_ANSWER}:
                    await self._record(unanswered.run, probe_result)
            self._queue_filled = anyio.Event()

    async def resolve_suspected_crashes(self) -> None:
        """Check which suspected upstreams have ended, until cancelled."""
        state = self.state
        while True:
            await state.crashes.has_suspected_crashes.wait()
            await anyio.sleep(SUSPICION_CHECK_PERIOD)
            now = state.timers.now()
            heartbeat = state.cfg.upstream_heartbeat_seconds
            state.crashes.resolve_suspected_crashes(
                state.directory, heartbeat, now
            )

    async def report_run(self, run: WatchedRun) -> None:
        """Report to the home which stage a watched run has reached."""
        self.state.crashes.record_run(run, self.state.timers.now())
        if self._send is not None:
            await self._send(run)

    async def _record(self, run: BrokenRun, probe_result: ProbeResult) -> None:
        """Record what a probe showed, and report it to the home."""
        signed = replace(run, sign=SIGNS[probe_result])
        self.state.crashes.record(signed, self.state.timers.now())
        if self._send is not None:
            await self._send(CrashReport(runs=(signed,)))

    async def _probe_after_break(self, upstream: ListedUpstream) -> ProbeResult:
        """Probe an upstream just after a send to it broke."""
        before = self.pool.open_connections(upstream.lifetime)
        probe_result = await self._probe(upstream.address)
        if probe_result is not ProbeResult.ACCEPTS_CONNECTIONS:
            return probe_result
        after = self.pool.open_connections(upstream.lifetime)
        return ProbeResult.ALIVE if before & after else probe_result

    async def _probe_rate_limited(
        self, upstream: ListedUpstream
    ) -> ProbeResult:
        now = self.state.timers.now()
        lifetime = upstream.lifetime
        probed_at, probe_result = self._probe_results.get(
            lifetime, (-math.inf, ProbeResult.ALIVE)
        )
        if now - probed_at < PROBE_PERIOD:
            return probe_result
        probe_result = await self._probe(upstream.address)
        self._probe_results = {
            key: row
            for key, row in self._probe_results.items()
            if now - row[0] < PROBE_PERIOD
        }
        self._probe_results[lifetime] = (now, probe_result)
        return probe_result

    async def _probe(self, address: str) -> ProbeResult:
        """Probe an address, once more if it closes the connection.

        A process that is ending may still accept one; its port refuses the next.
        """
        probe_result, is_closed = await self._probe_once(address)
        if is_closed:
            probe_result, _ = await self._probe_once(address)
        return probe_result

    async def _probe_once(self, address: str) -> tuple[ProbeResult, bool]:
        """Return what one connection shows, and whether it was closed."""
        try:
            conn = await self.dial(address, PROBE_TIMEOUT_SECONDS)
        except NobodyListensError:
            return ProbeResult.ENDED, False
        except PathUnknownError:
            return ProbeResult.NO_PATH, False
        except NotSentError:
            return ProbeResult.NO_ANSWER, False
        try:
            is_closed = await closes_within(conn, CLOSE_WAIT_SECONDS)
        finally:
            await conn.close()
        if not conn.is_direct:
            return ProbeResult.NO_PATH, False
        if is_closed:
            return ProbeResult.NO_ANSWER, True
        return ProbeResult.ACCEPTS_CONNECTIONS, False
