"""Exchange reports and tables between the entries and the home.

Each entry holds one websocket to the home, sends its report on it and gets
the table back. A node that is no home closes the link, and the entry looks
the home up again.
"""

import logging

import anyio
from spanfall_core.gateway.fleet import FleetTotals
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException
from xxhash import xxh3_64_intdigest

from spanfall_node.gateway.messages import (
    MESSAGE_BYTES,
    ConfigurationPart,
    ReportMessage,
    TableMessage,
    UpstreamsPart,
    decode_report,
    decode_table,
    encode,
)
from spanfall_node.gateway.state import GatewayState
from spanfall_node.gateway.sync import Sync

logger = logging.getLogger(__name__)

#: Seconds between two reports of an entry.
REPORT_PERIOD = 0.25
#: Reports a second that the home takes from all entries together: above
#: 100 entries each reports more rarely.
MOST_REPORTS = 400
#: Seconds between two looks at which node is the home.
LINK_PERIOD = 0.1
#: Seconds for an answer of the home, and for a new link to it.
ANSWER_SECONDS = 0.8
#: Digits that a digest may have in a message between nodes.
DIGEST_BITS = 0xFFFFFFFFFFFF


def report_period(entries: int) -> float:
    """Return the seconds between two reports of each of so many entries."""
    return max(REPORT_PERIOD, entries / MOST_REPORTS)


def upstreams_digest(state: GatewayState) -> int:
    """Return a digest of the table of upstreams."""
    rows = sorted(
        (row.upstream_id, row.address, row.leaving)
        for row in state.directory.rows.values()
    )
    return xxh3_64_intdigest(repr(rows).encode()) & DIGEST_BITS


class HomeLinks:
    """Answer the reports of entries while this node is the home."""

    def __init__(self, state: GatewayState) -> None:
        """Use the tables of the node."""
        self._state = state

    async def run(self) -> None:
        """Listen for entries until cancelled."""
        host, _, port = self._state.cfg.listen.links.rpartition(':')
        async with serve(
            self._serve_link,
            host,
            int(port),
            max_size=MESSAGE_BYTES,
            compression=None,
            server_header=None,
        ):
            await anyio.sleep_forever()

    async def _serve_link(self, link: ServerConnection) -> None:
        try:
            async for received in link:
                if self._state.tenure is None:
                    return
                await link.send(self._answer(received))
        except (WebSocketException, OSError) as exc:
            logger.info('A link from an entry ended: %r', exc)
        except ValueError:
            logger.exception('An entry sent no report; check its version')

    def _answer(self, received: bytes) -> bytes:
        state = self._state
        message = decode_report(received)
        now = state.timers.now()
        state.learn_report(message.report, now)
        state.learn_report(state.report(), now)
        return encode(self._table(message, now))

    def _table(self, message: ReportMessage, now: float) -> TableMessage:
        state = self._state
        revision = _revision(state)
        return TableMessage(
            epoch=state.tenure.epoch,
            totals=state.fleet.others(message.report.key, now),
            configuration_revision=revision,
            proof_age=min(state.freshness.age(now), 1e9),
            true_time=state.true_time.at(now),
            levels=state.levels(now),
            resigned=not state.is_home(now),
            configuration=self._configuration(message, revision),
            upstreams=self._upstreams(message),
        )

    def _configuration(
        self,
        message: ReportMessage,
        revision: int,
    ) -> ConfigurationPart | None:
        if message.configuration_revision >= revision:
            return None
        return ConfigurationPart(revision, self._state.configuration_source)

    def _upstreams(self, message: ReportMessage) -> UpstreamsPart | None:
        if message.upstreams_digest == upstreams_digest(self._state):
            return None
        directory = self._state.directory
        return UpstreamsPart(directory.revision, list(directory.rows.values()))


class EntryLink:
    """Report to the home and follow its table."""

    def __init__(self, state: GatewayState, sync: Sync) -> None:
        """Use the tables of the node and its way to learn."""
        self._state = state
        self._sync = sync

    async def run(self) -> None:
        """Keep a link to whichever node is the home, until cancelled."""
        while True:
            if self._should_link():
                await self._follow_home()
            elif self._state.tenure is not None:
                self._count_alone()
            await anyio.sleep(LINK_PERIOD)

    def _should_link(self) -> bool:
        state = self._state
        if state.home is None or state.tenure is not None:
            return False
        return state.home.incarnation != state.incarnation

    def _count_alone(self) -> None:
        """Follow the table that this node itself makes as the home."""
        state = self._state
        now = state.timers.now()
        report = state.report()
        state.learn_report(report, now)
        state.learn_levels(state.levels(now), report)
        apply_totals(state, state.fleet.others(report.key, now), now)

    async def _follow_home(self) -> None:
        home = self._state.home
        try:
            with anyio.fail_after(ANSWER_SECONDS):
                link = await self._connect(home.address)
        except (OSError, TimeoutError, WebSocketException) as exc:
            self._lose(f'no link: {exc!r}')
            return
        try:
            await self._report_until_lost(link)
        finally:
            link.transport.abort()

    async def _connect(self, address: str) -> ClientConnection:
        return await connect(
            f'ws://{address}/',
            max_size=MESSAGE_BYTES,
            compression=None,
            proxy=None,
            user_agent_header=None,
        )

    async def _report_until_lost(self, link: ClientConnection) -> None:
        epoch = self._state.home.epoch
        self._state.loads.forget_others()
        is_first = True
        while self._state.home is not None:
            if self._state.home.epoch != epoch or self._state.tenure:
                return
            try:
                with anyio.fail_after(ANSWER_SECONDS):
                    await self._report(link, to_new_home=is_first)
            except (OSError, TimeoutError, WebSocketException) as exc:
                self._lose(f'no answer: {exc!r}')
                return
            except ValueError:
                logger.exception('The home sent no table; check its version')
                self._lose('no table')
                return
            is_first = False
            await anyio.sleep(report_period(self._state.quotas.entries))

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
            _revision(state),
            upstreams_digest(state),
        )
        await link.send(encode(message))
        table = decode_table(await link.recv())
        self._apply(table, sent_at)
        state.learn_levels(table.levels, report)

    def _apply(
        self,
        table: TableMessage,
        sent_at: float,
    ) -> None:
        state = self._state
        now = state.timers.now()
        state.home_heard_at = now
        state.home_resigned = table.resigned
        if table.configuration is not None:
            self._sync.learn_configuration(
                table.configuration.revision,
                table.configuration.source,
                sent_at - table.proof_age,
            )
        elif table.configuration_revision == _revision(state):
            state.freshness.prove(sent_at - table.proof_age)
        if table.upstreams is not None:
            self._sync.learn_upstreams(
                table.upstreams.revision,
                table.upstreams.rows,
            )
        if state.true_time.correct(table.true_time, now):
            logger.warning('Followed the time of day of the home')
        apply_totals(state, table.totals, now)

    def _lose(self, reason: str) -> None:
        state = self._state
        logger.warning(
            'Lost the home %s: %s',
            state.home.node if state.home else None,
            reason,
        )
        state.lose_home()


def apply_totals(
    state: GatewayState,
    others: FleetTotals,
    now: float,
) -> None:
    """Follow the sums over all other entries."""
    state.loads.others_running = others.running
    state.loads.others_prefill = others.prefill
    state.loads.learn_failures(others.failed, now)
    state.quotas.entries = max(1, others.entries)
    state.retries.entries = max(1, others.entries)


def _revision(state: GatewayState) -> int:
    return state.configuration.revision if state.configuration else 0
