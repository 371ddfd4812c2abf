"""Hold an entry's link to the home: report on it and follow its table.

The counts of what runs go out whenever they change, so that the home's
grants rest on the present; reports with all the rest go out from time to
time, and the home answers each with its table.
"""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import msgspec
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.home.followed_table import FollowedTable
from spanfall_node.gateway.home.home_pace import strength
from spanfall_node.gateway.home.lost_home import LostHome
from spanfall_node.gateway.home.telling_words import tell_words
from spanfall_node.gateway.home.totals import follow_own_table
from spanfall_node.gateway.limits.unit_requests import UnitClient
from spanfall_node.gateway.links.crash_messages import QuarantineMessage
from spanfall_node.gateway.links.messages import (
    MESSAGE_BYTES,
    FromHome,
    GrantMessage,
    LoadMessage,
    ReportMessage,
    TableMessage,
    UnitsMessage,
    decode_from_home,
    encode,
)
from spanfall_node.gateway.links.succession_messages import (
    FarewellMessage,
    ResignMessage,
    StoreQuestion,
    StoreReached,
    SuccessorMessage,
)
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.crash_watch import CrashDetector
from spanfall_node.gateway.upstreams.grants import GrantClient

logger = logging.getLogger(__name__)

#: Seconds between two looks at which node is the home.
LINK_PERIOD = 0.1
#: Seconds for an answer of the home, and for a new link to it.
ANSWER_SECONDS = 0.8
#: Seconds for which changes of what runs are gathered before they are told.
LOAD_PERIOD = 0.05
#: Part of the period of reports after which one may go out early, since units
#: of a workspace run out.
SOONEST_PART = 0.25
#: Early reports a second that the home takes from all entries together.
MOST_EARLY = 400


Part = Callable[[ClientConnection], Awaitable[None]]


class EntryLink:
    """Report to the home and follow its table."""

    def __init__(
        self,
        state: GatewayState,
        sync: Sync,
        grants: GrantClient,
        units: UnitClient,
        watch: CrashDetector,
    ) -> None:
        """Use the tables of the node, its ways to learn and to ask."""
        self._state = state
        self._sync = sync
        self._grants = grants
        self._units = units
        #: Parts that tell the home of single requests.
        self._askers = (grants, units, watch)
        self._tables: list[TableMessage] = []
        self._heard = anyio.Event()
        #: Set when a home that is cut off asks for the store.
        self._asked = anyio.Event()
        self._table = FollowedTable(state, sync)
        self._lost = LostHome(state, sync)

    async def run(self) -> None:
        """Keep a link to whichever node is the home, until cancelled."""
        while True:
            if self._should_link():
                await self._follow_home()
            elif self._state.tenure is not None:
                follow_own_table(self._state)
            elif self._state.home is None:
                self._lost.try_again()
            with anyio.move_on_after(LINK_PERIOD):
                await self._state.home_changed.wait()

    def _should_link(self) -> bool:
        state = self._state
        if state.home is None or state.tenure is not None:
            return False
        return state.home.incarnation != state.incarnation

    async def _follow_home(self) -> None:
        home = self._state.home
        try:
            with anyio.fail_after(ANSWER_SECONDS):
                link = await self._connect(home.address)
        except (OSError, TimeoutError, WebSocketException) as exc:
            self._lose(f'no link: {exc!r}')
            return
        try:
            await self._use(link)
        finally:
            for asker in self._askers:
                asker.disconnect()
            link.transport.abort()

    async def _connect(self, address: str) -> ClientConnection:
        return await connect(
            f'ws://{address}/',
            max_size=MESSAGE_BYTES,
            compression=None,
            proxy=None,
            user_agent_header=None,
        )

    async def _use(self, link: ClientConnection) -> None:
        """Use a link until it fails or there is another home."""
        self._state.loads.reset_others()
        self._table = FollowedTable(self._state, self._sync)
        self._tables = []
        self._asked = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def run(part: Part) -> None:
                await self._until_lost(part, link)
                tasks.cancel_scope.cancel()

            parts = (
                self._receive,
                self._report_often,
                self._tell_load,
                self._look_for_store,
                partial(tell_words, self._state),
            )
            for part in parts:
                tasks.start_soon(run, part)

    async def _until_lost(self, part: Part, link: ClientConnection) -> None:
        try:
            await part(link)
        except TimeoutError as exc:
            self._lose(f'no answer: {exc!r}')
        except (OSError, WebSocketException) as exc:
            self._lose(f'the link ended: {exc!r}')
        except ValueError:
            logger.exception('The home sent no message; check its version')
            self._lose('no message')

    async def _receive(self, link: ClientConnection) -> None:
        """Take what the home sends; the reports wait for their tables."""

        async def ask(message: msgspec.Struct) -> None:
            try:
                await link.send(encode(message))
            except (OSError, WebSocketException) as exc:
                logger.info('Could not ask the home: %r', exc)

        await ask(self._state.crashes.report(self._state.timers.now()))
        for asker in self._askers:
            asker.connect(ask)
        self._lost.last = self._state.home
        epoch = self._state.home.epoch
        while self._is_home_still(epoch):
            self._learn(decode_from_home(await link.recv()))

    def _learn(self, message: FromHome) -> None:
        now = self._state.timers.now()
        match message:
            case GrantMessage():
                self._grants.accept_answer(message)
            case UnitsMessage():
                self._units.accept_answer(message)
            case TableMessage():
                self._tables.append(message)
                self._heard.set()
            case StoreQuestion():
                self._asked.set()
            case ResignMessage():
                self._state.note_vacant(message.epoch)
            case QuarantineMessage():
                self._state.crashes.learn_quarantined(message.quarantined, now)
            case SuccessorMessage():
                self._state.follow_home(message.home, now)

    async def _look_for_store(self, link: ClientConnection) -> None:
        """Tell a home that is cut off whether this node reaches the store."""
        epoch = self._state.home.epoch
        while True:
            await self._asked.wait()
            if await self._sync.reaches_store():
                await link.send(encode(StoreReached(epoch)))
            self._asked = anyio.Event()

    async def _report_often(self, link: ClientConnection) -> None:
        epoch = self._state.home.epoch
        is_first = True
        while self._is_home_still(epoch):
            with anyio.fail_after(ANSWER_SECONDS):
                await self._report(link, to_new_home=is_first)
            is_first = False
            await self._pause(epoch)
        await self._take_leave(link, epoch)

    async def _take_leave(self, link: ClientConnection, epoch: int) -> None:
        """Tell a home that another has followed it, if that is so."""
        home = self._state.home
        if home is not None and home.epoch > epoch:
            await link.send(encode(FarewellMessage(home)))

    async def _pause(self, epoch: int) -> None:
        """Wait for the next report; units that run out bring it forward."""
        quotas = self._state.quotas
        period = self._table.report_after
        soonest = max(period * SOONEST_PART, quotas.entries / MOST_EARLY)
        with anyio.move_on_after(soonest):
            await self._state.home_changed.wait()
        with anyio.move_on_after(period - soonest):
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
            seen=self._grants.load().seen,
            strength=strength(state.cfg.host),
            words_version=self._table.words_version,
        )
        self._heard = anyio.Event()
        await link.send(encode(message))
        while not self._tables:
            await self._heard.wait()
        table = self._tables.pop()
        self._table.apply(table, sent_at)
        now = state.timers.now()
        state.learn_given(table.given, report, now)

    async def _tell_load(self, link: ClientConnection) -> None:
        """Tell the home what runs here whenever it has changed."""
        told = -1
        while True:
            if told == self._state.loads.changes:
                await self._state.load_changed.wait()
            await anyio.sleep(LOAD_PERIOD)
            if told != self._state.loads.changes:
                told = self._state.loads.changes
                entry = self._state.entry_key
                message = LoadMessage(entry, self._grants.load())
                await link.send(encode(message))

    def _lose(self, reason: str) -> None:
        state = self._state
        logger.warning(
            'Lost the home %s: %s',
            state.home.node if state.home else None,
            reason,
        )
        state.lose_home()
