"""Connect to upstreams directly, or through a peer where that fails.

A failed connection says something of the path before it says something of the
upstream, so a peer is asked before the upstream counts as unreachable.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from math import inf

import anyio
from spanfall_core.gateway.known.peers import Peer

from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.errors import (
    NobodyListensError,
    NotSentError,
    PathUnknownError,
    PeerUnavailableError,
)
from spanfall_node.gateway.net.idle_connections import close_all
from spanfall_node.gateway.net.pool import ConnectionPool, Dial
from spanfall_node.gateway.net.tunnels import connect_through
from spanfall_node.gateway.tables.counters import PathKind
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.reach_check import reaches_another

logger = logging.getLogger(__name__)

#: Seconds after which a direct connection that is not established is raced by
#: one through a peer. Connections between regions take less. A probe has no
#: longer timeout, so it asks a peer only after its own failure.
HEDGE_SECONDS = 0.1
#: Timeout in seconds of a connection through a peer.
PEER_TIMEOUT_SECONDS = 0.25
#: Timeout in seconds of a direct connection that only checks a path.
CHECK_TIMEOUT_SECONDS = 0.4
#: Seconds between two checks of paths; each opens two connections at most.
CHECK_PERIOD = 0.25
#: Seconds without any data from upstreams after which the paths of waiting
#: requests are checked.
SILENCE_SECONDS = 0.5
#: Seconds between two checks because of such a silence.
SILENCE_CHECK_PERIOD = 1.0
#: Further upstreams that are checked once one turns out to be blocked.
SILENCE_CHECKS = 4
#: Seconds for which a peer that did not answer is asked after the others.
PEER_PAUSE_SECONDS = 1.0


@dataclass(slots=True)
class UpstreamPaths:
    """Open connections to upstreams and check the paths to them."""

    state: GatewayState
    dial: Dial = connect
    #: Addresses that a peer reached before this node did.
    _doubted: dict[str, None] = field(default_factory=dict)
    #: Until when peers that did not answer are asked after the others.
    _paused: dict[Peer, float] = field(default_factory=dict)
    _silence_checked_at: float = -inf
    _cut_since: float | None = None

    async def open(self, address: str, timeout: float) -> Connection:
        """Open a connection to an upstream.

        Raises:
            NobodyListensError: the host refuses connections.
            PathUnknownError: no peer could tell whether it is up.
            NotSentError: the host accepts none in time.
        """
        peers = self._ranked_peers()
        if not peers:
            return await self._open_directly(address, timeout)
        if self.state.reach.own.is_blocked(address):
            conn = await self._open_through(peers, address)
        else:
            conn = await self._race(peers, address, timeout)
        kind = PathKind.DIRECT if conn.is_direct else PathKind.PEER
        self.state.counters.upstream_paths.labels(kind.value).inc()
        return conn

    def may_reuse(self, address: str) -> bool:
        """Return whether idle connections to an address may lead there."""
        reach = self.state.reach.own
        return not (reach.is_suspect or reach.is_blocked(address))

    async def check_paths(self, pool: ConnectionPool) -> None:
        """Check doubted, blocked and silent paths, until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD)
            await self._check_next()
            await self._check_silence(pool)
            await self._report_change(pool)

    async def _open_directly(self, address: str, timeout: float) -> Connection:
        conn = await self.dial(address, timeout)
        self.state.reach.own.record_reached(address, self.state.timers.now())
        return conn

    async def _race(
        self, peers: tuple[Peer, ...], address: str, timeout: float
    ) -> Connection:
        """Connect directly; where that is slow or fails, also through a peer."""
        opened: list[Connection] = []
        errors: dict[PathKind, NotSentError] = {}
        direct_failed = anyio.Event()

        async def go_directly() -> None:
            try:
                opened.append(await self._open_directly(address, timeout))
            except NotSentError as exc:
                errors[PathKind.DIRECT] = exc
                direct_failed.set()
            else:
                tasks.cancel_scope.cancel()

        async def go_through_peer() -> None:
            with anyio.move_on_after(HEDGE_SECONDS):
                await direct_failed.wait()
            try:
                opened.append(await self._open_through(peers, address))
            except NotSentError as exc:
                errors[PathKind.PEER] = exc
            else:
                tasks.cancel_scope.cancel()

        is_over = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(go_directly)
                tasks.start_soon(go_through_peer)
            is_over = True
        finally:
            await close_all(opened[1:] if is_over else opened)
        if not opened:
            raise await self._verdict(address, errors)
        if not opened[0].is_direct:
            self._record_bypass(address, failed=direct_failed.is_set())
        return opened[0]

    def _record_bypass(self, address: str, *, failed: bool) -> None:
        """Record that a peer reached an upstream before this node did."""
        if failed:
            now = self.state.timers.now()
            self.state.reach.own.record_blocked(address, now)
        else:
            self._doubted[address] = None

    async def _verdict(
        self, address: str, errors: dict[PathKind, NotSentError]
    ) -> NotSentError:
        """Return what two failed connections say of an upstream."""
        # An error that its own frames hold would outlive the request.
        direct = errors.pop(PathKind.DIRECT)
        through_peer = errors.pop(PathKind.PEER)
        if not isinstance(through_peer, PathUnknownError):
            return through_peer
        if await reaches_another(self.state, self.dial, address):
            return direct
        return PathUnknownError(f'{direct.reason}; {through_peer.reason}')

    async def _open_through(
        self, peers: Iterable[Peer], address: str
    ) -> Connection:
        """Open a connection through the first peer that reaches an upstream.

        Raises:
            PathUnknownError: no peer tells whether the host is up.
            NotSentError: a peer does not reach it either, and no other does.
        """
        failures: list[NotSentError] = [PeerUnavailableError('no known peer')]
        for peer in peers:
            try:
                return await connect_through(
                    peer.address, address, PEER_TIMEOUT_SECONDS
                )
            except PeerUnavailableError as exc:
                until = self.state.timers.now() + PEER_PAUSE_SECONDS
                self._paused[peer] = until
                logger.info('%s', exc.reason)
                if isinstance(failures[0], PeerUnavailableError):
                    failures[0] = exc
            except NotSentError as exc:
                failures[0] = exc
        if isinstance(failures[0], PeerUnavailableError):
            raise PathUnknownError(failures.pop().reason)
        self.state.reach.own.blocked.pop(address, None)
        raise failures.pop()

    def _ranked_peers(self) -> tuple[Peer, ...]:
        """Return the peers, those that did not answer lately at the end."""
        now = self.state.timers.now()
        self._paused = {
            peer: until for peer, until in self._paused.items() if until > now
        }
        return tuple(
            sorted(self.state.reach.peers, key=self._paused.__contains__)
        )

    async def _check_next(self) -> None:
        """Check one path that a request avoided or will avoid."""
        reach = self.state.reach.own
        doubted = next(iter(self._doubted), None)
        address = doubted or reach.next_to_check()
        if address is None:
            return
        self._doubted.pop(address, None)
        if address not in self.state.directory.address_counts:
            reach.blocked.pop(address, None)
            return
        if not await self._reaches(address) and doubted is not None:
            reach.record_blocked(address, self.state.timers.now())

    async def _check_silence(self, pool: ConnectionPool) -> None:
        """Check paths while all requests wait and no upstream sends data."""
        now = anyio.current_time()
        reached_at = self.state.reach.own.reached_at
        if now - max(pool.received_at, reached_at) < SILENCE_SECONDS:
            return
        waiting = {
            conn.address
            for conn in pool.direct_in_use()
            if now - conn.began_at >= SILENCE_SECONDS
        }
        if not waiting or now - self._silence_checked_at < SILENCE_CHECK_PERIOD:
            return
        self._silence_checked_at = now
        if await self._is_path_silent(waiting.pop()):
            async with anyio.create_task_group() as tasks:
                for address in islice(waiting, SILENCE_CHECKS):
                    tasks.start_soon(self._is_path_silent, address)
            await self._break_blocked(pool)

    async def _is_path_silent(self, address: str) -> bool:
        """Return whether a peer reaches a silent upstream and this node not.

        A refused connection says nothing of those that are open.
        """
        try:
            conn = await self._open_directly(address, CHECK_TIMEOUT_SECONDS)
        except NobodyListensError:
            return False
        except NotSentError as exc:
            logger.info('No direct path to %s: %s', address, exc.reason)
        else:
            await conn.close()
            return False
        try:
            conn = await self._open_through(self._ranked_peers(), address)
        except NotSentError as exc:
            logger.info('Silent upstream %s: %s', address, exc.reason)
            return False
        await conn.close()
        self.state.reach.own.record_blocked(address, self.state.timers.now())
        return True

    async def _break_blocked(self, pool: ConnectionPool) -> None:
        """Break requests on blocked paths, so that they are sent again.

        One that may run only once goes on waiting: its response may still
        arrive.
        """
        for conn in pool.direct_in_use():
            is_blocked = self.state.reach.own.is_blocked(conn.address)
            if is_blocked and not conn.runs_once:
                await conn.close()

    async def _reaches(self, address: str) -> bool:
        try:
            conn = await self._open_directly(address, CHECK_TIMEOUT_SECONDS)
        except NotSentError:
            return False
        await conn.close()
        return True

    async def _report_change(self, pool: ConnectionPool) -> None:
        """Log when this node loses and regains its paths to upstreams."""
        now = self.state.timers.now()
        is_cut = self.state.reach.own.is_cut
        if is_cut and self._cut_since is None:
            self._cut_since = now
            await pool.drop_idle()
            logger.warning(
                'This node reaches no upstream: %s addresses failed that peers '
                'reach; sending through %s peers',
                len(self.state.reach.own.blocked),
                len(self.state.reach.peers),
            )
        elif not is_cut and self._cut_since is not None:
            logger.warning(
                'This node reaches upstreams again after %.1f s',
                now - self._cut_since,
            )
            self._cut_since = None
