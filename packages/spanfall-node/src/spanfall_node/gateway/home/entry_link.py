"""Keep an entry's link to the home: send reports and apply its tables.

Counts of running requests are sent whenever they change, so that the home
grants upstreams by the current load. Full reports are sent periodically, and
the home answers each with its table.
"""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import msgspec
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.home.followed_table import FollowedTable
from spanfall_node.gateway.home.home_messages import apply_message
from spanfall_node.gateway.home.home_pace import strength
from spanfall_node.gateway.home.load_sender import send_load
from spanfall_node.gateway.home.lost_home import HomeReconnect
from spanfall_node.gateway.home.peer_links import own_peer, refuses_tunnels
from spanfall_node.gateway.home.request_clients import RequestClients
from spanfall_node.gateway.home.telling_words import send_statements
from spanfall_node.gateway.home.totals import follow_own_table
from spanfall_node.gateway.home.withdrawals import send_withdrawals
from spanfall_node.gateway.links.messages import (
    FromHome,
    ReportMessage,
    TableMessage,
    decode_from_home,
    encode,
)
from spanfall_node.gateway.links.succession_messages import (
    FarewellMessage,
    StoreQuestion,
    StoreReached,
)
from spanfall_node.gateway.net.open_links import open_link
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.stream_lookup import (
    known_origins,
)

logger = logging.getLogger(__name__)

#: Seconds between two checks for a home to link to.
HOME_CHECK_PERIOD = 0.1
#: Timeout in seconds for an answer of the home and for a new link to it.
ANSWER_TIMEOUT_SECONDS = 0.8
#: Fraction of the report period after which a report may be sent early because
#: units of a workspace run out.
MIN_PERIOD_FRACTION = 0.25
#: Early reports per second that the home accepts from all entries together.
MAX_EARLY_REPORTS_PER_SECOND = 400


LinkTask = Callable[[ClientConnection], Awaitable[None]]


class EntryLink:
    """Report to the home and apply its tables."""

    def __init__(
        self,
        state: GatewayState,
        sync: Sync,
        clients: RequestClients,
    ) -> None:
        """Use the state of the node, its sync and its request clients."""
        self._state = state
        self._sync = sync
        self._clients = clients
        self._tables: list[TableMessage] = []
        self._table_received = anyio.Event()
        #: Set when a home that cannot reach the store asks whether this node
        #: does.
        self._store_check_requested = anyio.Event()
        self._table = FollowedTable(state, sync)
        self._reconnect = HomeReconnect(state, sync)

    async def run(self) -> None:
        """Keep a link to the current home until cancelled."""
        while True:
            if self._should_link():
                await self._follow_home()
            elif self._state.tenure is not None:
                follow_own_table(self._state)
            elif self._state.home is None:
                self._reconnect.retry_last_home()
            with anyio.move_on_after(HOME_CHECK_PERIOD):
                await self._state.home_changed.wait()

    def _should_link(self) -> bool:
        state = self._state
        if state.home is None or state.tenure is not None:
            return False
        return state.home.incarnation != state.incarnation

    async def _follow_home(self) -> None:
        home = self._state.home
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                link = await open_link(home.address)
        except (OSError, TimeoutError, WebSocketException) as exc:
            self._mark_home_lost(f'connection failed: {exc!r}')
            return
        try:
            await self._run_link(link)
        finally:
            for request_client in self._clients:
                request_client.disconnect()
            link.transport.abort()

    async def _run_link(self, link: ClientConnection) -> None:
        """Run the tasks of a link until it fails or the home changes."""
        self._state.loads.reset_others()
        self._table = FollowedTable(self._state, self._sync)
        self._tables = []
        self._store_check_requested = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def run(task: LinkTask) -> None:
                await self._run_until_lost(task, link)
                tasks.cancel_scope.cancel()

            link_tasks = (
                self._receive,
                self._report_periodically,
                partial(send_load, self._state, self._clients.grants),
                self._answer_store_questions,
                partial(send_statements, self._state),
                partial(send_withdrawals, self._state),
            )
            for task in link_tasks:
                tasks.start_soon(run, task)

    async def _run_until_lost(
        self, task: LinkTask, link: ClientConnection
    ) -> None:
        try:
            await task(link)
        except TimeoutError as exc:
            self._mark_home_lost(f'no answer: {exc!r}')
        except (OSError, WebSocketException) as exc:
            self._mark_home_lost(f'the link ended: {exc!r}')
        except ValueError:
            logger.exception(
                'The home sent an invalid message; check its version',
            )
            self._mark_home_lost('invalid message')

    async def _receive(self, link: ClientConnection) -> None:
        """Receive messages of the home; reports wait for their tables."""

        async def ask(message: msgspec.Struct) -> None:
            try:
                await link.send(encode(message))
            except (OSError, WebSocketException) as exc:
                logger.info('Could not send a message to the home: %r', exc)

        await ask(self._state.crashes.report(self._state.timers.now()))
        await ask(known_origins(self._state))
        for request_client in self._clients:
            request_client.connect(ask)
        self._reconnect.last_home = self._state.home
        epoch = self._state.home.epoch
        while self._is_home_still(epoch):
            self._handle(decode_from_home(await link.recv()))

    def _handle(self, message: FromHome) -> None:
        match message:
            case TableMessage():
                self._tables.append(message)
                self._table_received.set()
            case StoreQuestion():
                self._store_check_requested.set()
            case _:
                apply_message(self._state, self._clients, message)

    async def _answer_store_questions(self, link: ClientConnection) -> None:
        """Answer a home that asks whether this node reaches the store."""
        epoch = self._state.home.epoch
        while True:
            await self._store_check_requested.wait()
            if await self._sync.check_store():
                await link.send(encode(StoreReached(epoch)))
            self._store_check_requested = anyio.Event()

    async def _report_periodically(self, link: ClientConnection) -> None:
        epoch = self._state.home.epoch
        is_first = True
        while self._is_home_still(epoch):
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                await self._report(link, to_new_home=is_first)
            is_first = False
            await self._wait_for_next_report(epoch)
        await self._send_farewell(link, epoch)

    async def _send_farewell(self, link: ClientConnection, epoch: int) -> None:
        """Notify the home if it was superseded by another."""
        home = self._state.home
        if home is not None and home.epoch > epoch:
            await link.send(encode(FarewellMessage(home)))

    async def _wait_for_next_report(self, epoch: int) -> None:
        """Wait until the next report is due, or units run out."""
        quotas = self._state.quotas
        period = self._table.report_after
        min_wait = max(
            period * MIN_PERIOD_FRACTION,
            quotas.entries / MAX_EARLY_REPORTS_PER_SECOND,
        )
        with anyio.move_on_after(min_wait):
            await self._state.home_changed.wait()
        with anyio.move_on_after(period - min_wait):
            while self._is_home_still(epoch) and not quotas.is_low():
                await self._state.load_changed.wait()

    def _is_home_still(self, epoch: int) -> bool:
        home = self._state.home
        if home is None or self._state.tenure is not None:
            return False
        return home.epoch == epoch

    async def _report(
        self,
        link: ClientConnection,
        *,
        to_new_home: bool,
    ) -> None:
        state = self._state
        report = state.report(to_new_home=to_new_home)
        sent_at = state.timers.now()
        message = ReportMessage(
            report,
            state.version,
            state.directory.digest,
            state.directory.delta_base,
            wants_totals=self._table.wants_totals(sent_at),
            seen=self._clients.grants.load().seen,
            strength=strength(state.cfg.host),
            words_version=self._table.words_version,
            shared_host_services=tuple(state.scheduling.shared_host_services),
            peer=own_peer(state) if to_new_home else None,
            refuses_tunnels=refuses_tunnels(state),
            peers_version=self._table.peers_version,
            links_address=state.cfg.listen.links if to_new_home else '',
        )
        self._table_received = anyio.Event()
        await link.send(encode(message))
        while not self._tables:
            await self._table_received.wait()
        table = self._tables.pop()
        self._table.apply(table, sent_at)
        now = state.timers.now()
        state.apply_given(table.given, report, now)

    def _mark_home_lost(self, reason: str) -> None:
        state = self._state
        logger.warning(
            'Lost the home %s: %s',
            state.home.node if state.home else None,
            reason,
        )
        state.lose_home()
