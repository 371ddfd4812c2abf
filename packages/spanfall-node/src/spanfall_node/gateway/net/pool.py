"""Pool idle connections to servers and make single calls over them."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import chain

import anyio
from anyio.abc import TaskGroup

from spanfall_node.gateway.net.bodies import read_body
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.errors import BrokenCallError, NotSentError
from spanfall_node.gateway.net.idle_connections import watch_idle
from spanfall_node.gateway.net.ports import HttpCall, HttpReply

logger = logging.getLogger(__name__)

#: Seconds after the last data of any server within which idle connections are
#: taken to lead to their servers.
TRUSTED_IDLE_SECONDS = 1.0

#: Opens a connection to an address within a timeout in seconds.
Dial = Callable[[str, float], Awaitable[Connection]]


@dataclass(slots=True)
class IdleConnection:
    """Hold an idle connection and the state of the task that watches it."""

    conn: Connection
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    watched: anyio.Event = field(default_factory=anyio.Event)

    async def stop_watching(self) -> None:
        """Cancel the watching task and wait until it has ended."""
        self.scope.cancel()
        await self.watched.wait()


class ConnectionPool:
    """Pool idle connections to servers, each watched by a task."""

    def __init__(
        self,
        tasks: TaskGroup,
        dial: Dial = connect,
        may_reuse: Callable[[str], bool] = bool,
    ) -> None:
        """Use the task group for the watchers of idle connections.

        ``dial`` opens connections; ``may_reuse`` tells whether idle ones to an
        address may be used.
        """
        self._tasks = tasks
        self._dial = dial
        self._may_reuse = may_reuse
        self._idle: dict[str, list[IdleConnection]] = {}
        self._in_use: dict[str, set[Connection]] = {}
        #: When data was last received over a connection that was released.
        self._received_at = float('-inf')

    def open_connections(self, key: str) -> set[Connection]:
        """Return the open connections to one lifetime of a server."""
        idle = {idle_conn.conn for idle_conn in self._idle.get(key, ())}
        known = idle | self._in_use.get(key, set())
        return {conn for conn in known if not conn.is_closed}

    async def acquire(
        self,
        key: str,
        address: str,
        timeout: float,
        *,
        runs_once: bool = False,
    ) -> Connection:
        """Return an idle connection to one lifetime of a server, or a new one.

        A request that may be processed only once (``runs_once``) gets a new one
        if no server sent data for a while: idle connections may lead nowhere.

        Raises:
            NotSentError: the connection was not established in time.
        """
        idle = self._idle.get(key, [])
        while idle and self._may_reuse(address):
            if runs_once and not self._received_lately():
                break
            idle_conn = idle.pop()
            await idle_conn.stop_watching()
            if not idle_conn.conn.is_closed:
                idle_conn.conn.start_next()
                return self._mark_in_use(key, idle_conn.conn, runs_once)
        conn = await self._dial(address, timeout)
        return self._mark_in_use(key, conn, runs_once)

    async def drop_idle(self) -> None:
        """Close all idle connections."""
        for idle_conn in chain.from_iterable(list(self._idle.values())):
            await idle_conn.conn.close()

    def direct_in_use(self) -> list[Connection]:
        """Return the connections in use that lead through no peer."""
        in_use = chain.from_iterable(self._in_use.values())
        return [conn for conn in in_use if conn.is_direct]

    @property
    def received_at(self) -> float:
        """Return when data was last received over a direct connection."""
        times = [conn.received_at for conn in self.direct_in_use()]
        return max([self._received_at, *times])

    def _received_lately(self) -> bool:
        return anyio.current_time() - self.received_at <= TRUSTED_IDLE_SECONDS

    def _mark_in_use(
        self, key: str, conn: Connection, runs_once: bool
    ) -> Connection:
        conn.runs_once = runs_once
        conn.began_at = anyio.current_time()
        self._in_use.setdefault(key, set()).add(conn)
        return conn

    async def release(self, key: str, conn: Connection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        in_use = self._in_use.get(key, set())
        in_use.discard(conn)
        if conn.is_direct:
            self._received_at = max(self._received_at, conn.received_at)
        if not in_use:
            self._in_use.pop(key, None)
        if not (conn.reusable and conn.is_direct) or conn.is_closed:
            await conn.close()
            return
        self._keep_idle(key, conn)

    async def replace_closed(
        self, key: str, address: str, timeout: float
    ) -> bool:
        """Open a connection for one that the server closed, and keep it idle.

        Returns False if the server accepts none.
        """
        try:
            conn = await self._dial(address, timeout)
        except NotSentError as exc:
            logger.info('%s accepts no connection: %s', address, exc.reason)
            return False
        if conn.is_direct:
            self._keep_idle(key, conn)
        else:
            await conn.close()
        return True

    def _keep_idle(self, key: str, conn: Connection) -> None:
        idle_conn = IdleConnection(conn)
        self._idle.setdefault(key, []).append(idle_conn)
        self._tasks.start_soon(self._watch, key, idle_conn)

    async def _watch(self, key: str, idle_conn: IdleConnection) -> None:
        try:
            with idle_conn.scope:
                await watch_idle(idle_conn.conn)
        finally:
            idle_conn.watched.set()
        if idle_conn.scope.cancelled_caught:
            return
        rows = self._idle.get(key, [])
        if idle_conn in rows:
            rows.remove(idle_conn)
        await idle_conn.conn.close()


async def call_once(
    pool: ConnectionPool,
    address: str,
    call: HttpCall,
    timeout: float,
    most: int = 8_000_000,
) -> HttpReply:
    """Make one call and return its complete response.

    Raises:
        NotSentError: the call had no effect.
        BrokenCallError: the call may have had an effect.
    """
    conn = await pool.acquire(address, address, timeout)
    try:
        with anyio.fail_after(timeout):
            await conn.send(call, address)
            head = await conn.read_head(lambda _: True)
            body = await read_body(conn, most)
    except TimeoutError as exc:
        await conn.close()
        raise BrokenCallError(
            'no complete response within the time-out'
        ) from exc
    except BaseException:
        await conn.close()
        raise
    finally:
        await pool.release(address, conn)
    return HttpReply(head.status, head.headers, bytes(body))
