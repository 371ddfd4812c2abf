"""Serve the links of entries while this node is the home.

Each entry keeps one websocket to the home. On it the entry sends reports,
which are answered with the home's table, and its load, and requests the
upstreams for single requests. A node that is not the home closes the link, and
the entry looks up the home again.
"""

import logging

from spanfall_core.gateway.known.reporting import load_expires_after
from spanfall_core.gateway.routing.grants import EntryLoad
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException

from spanfall_node.gateway.home.entry_loads import apply_load
from spanfall_node.gateway.home.link_tables import LinkTables
from spanfall_node.gateway.home.upstreams_part import upstreams_part
from spanfall_node.gateway.links.contention_messages import WithdrawMessage
from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    WatchedRun,
)
from spanfall_node.gateway.links.messages import (
    ConfigurationPart,
    FromEntry,
    GrantMessage,
    GrantRequestMessage,
    LoadMessage,
    ReportMessage,
    TableMessage,
    decode_from_entry,
    encode,
)
from spanfall_node.gateway.links.origin_messages import (
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.links.passing_on import ConfigurationSender
from spanfall_node.gateway.links.succession_messages import (
    FarewellMessage,
    StoreReached,
    SuccessorMessage,
)
from spanfall_node.gateway.links.unit_messages import UnitsMessage, UnitsRequest
from spanfall_node.gateway.links.word_messages import (
    StatementsPart,
    StatementsReport,
)
from spanfall_node.gateway.net.open_links import MESSAGE_BYTES
from spanfall_node.gateway.net.sockets import BACKLOG
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.tables.scheduling import Feature
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.admitting import (
    answer_request,
    withdraw,
)
from spanfall_node.gateway.upstreams.brittle_upstreams import (
    merge_rejections,
)
from spanfall_node.gateway.upstreams.hearing import merge_statements

logger = logging.getLogger(__name__)

#: Finite age in seconds sent for data that was never read.
MAX_AGE_SECONDS = 1e9


class HomeLinks:
    """Answer messages of entries while this node is the home."""

    def __init__(self, state: GatewayState, reads: FreshReads) -> None:
        """Use the state of the node, and reads of the store for lookups."""
        self._state = state
        self._tables = LinkTables(state, reads)
        self._configuration_sender = ConfigurationSender(
            state.cfg.host.link_megabits
        )

    async def run(self) -> None:
        """Accept links of entries until cancelled."""
        host, _, port = self._state.cfg.listen.links.rpartition(':')
        async with serve(
            self._serve_link,
            host,
            int(port),
            max_size=MESSAGE_BYTES,
            compression=None,
            server_header=None,
            backlog=BACKLOG,
        ):
            try:
                await self._tables.run()
            finally:
                self._resign()

    def _resign(self) -> None:
        """Resign as home when the listener ends, so that others take over."""
        if self._state.tenure is not None:
            self._state.tenure.resign()

    async def _serve_link(self, link: ServerConnection) -> None:
        self._tables.add(link)
        try:
            async for data in link:
                if self._state.tenure is None and not _is_lookup(data):
                    await self._redirect(link)
                    return
                answer = self._answer(data, link)
                if answer is not None:
                    await link.send(answer)
        except (WebSocketException, OSError) as exc:
            logger.info('The link of an entry failed: %r', exc)
        except ValueError:
            logger.exception(
                'An entry sent an invalid message; check its version',
            )
        finally:
            self._tables.remove(link)

    async def _redirect(self, link: ServerConnection) -> None:
        """Send the current home to an entry that has linked to this node."""
        if self._state.home is not None:
            await link.send(encode(SuccessorMessage(self._state.home)))

    def _answer(
        self,
        data: bytes,
        link: ServerConnection | None = None,
    ) -> bytes | None:
        message = decode_from_entry(data)
        now = self._state.timers.now()
        match message:
            case FarewellMessage():
                self._state.follow_home(message.home, now)
            case LoadMessage():
                apply_load(self._state, message, now)
            case WithdrawMessage():
                withdraw(self._state, message.entry, message.tickets)
            case WatchedRun():
                self._state.crashes.record_run(message, now)
            case StatementsReport():
                merge_statements(self._state, message.words)
            case OriginsMessage():
                self._tables.lookups.merge(message)
            case _:
                return self._reply(message, link, now)
        return None

    def _reply(
        self,
        message: FromEntry,
        link: ServerConnection | None,
        now: float,
    ) -> bytes | None:
        """Return the answer to a message that expects one."""
        match message:
            case StoreReached():
                resigned = self._tables.succession.hand_over(message.epoch)
                return None if resigned is None else encode(resigned)
            case GrantRequestMessage():
                return encode(self._grant(message, link, now))
            case UnitsRequest():
                return encode(self._units(message, now))
            case CrashReport():
                return self._tables.quarantine.answer(message, now)
            case OriginQuestion():
                return self._tables.lookups.answer(message, link)
        self._tables.record(link, message)
        return encode(self._table(message, link, now))

    def _grant(
        self,
        message: GrantRequestMessage,
        link: ServerConnection | None,
        now: float,
    ) -> GrantMessage:
        state = self._state
        merge_rejections(state, message.rejections)
        state.grant_book.apply_report(message.entry, message.load, now)
        if message.request.terms is not None:
            self._tables.turns.add(message.entry, link)
        return answer_request(
            state, message.entry, message.number, message.request
        )

    def _units(self, message: UnitsRequest, now: float) -> UnitsMessage:
        units = self._state.lend_units(
            message.entry,
            message.workspace,
            message.units,
            now,
        )
        return UnitsMessage(message.number, message.workspace, units)

    def _table(
        self,
        message: ReportMessage,
        link: ServerConnection | None,
        now: float,
    ) -> TableMessage:
        state = self._state
        report = message.report
        state.quota_allocator.set_paced(
            is_paced=state.scheduling.is_on_anywhere(Feature.CONTENTION)
        )
        state.apply_report(report, now)
        state.scheduling.add_shared_host_services(message.shared_host_services)
        state.apply_report(state.own_report(), now)
        load = EntryLoad(report.running, report.prefill, message.seen)
        period = state.fleet.period(now)
        state.grant_book.apply_report(report.key, load, now)
        state.grant_book.set_load_expiry(report.key, load_expires_after(period))
        state.grant_book.drop_silent_entries(now)
        totals, factors = None, {}
        if message.wants_totals:
            factors = state.upstream_speeds.factors_to_report(now)
            totals = state.fleet.totals_except(report.key, now)
        return TableMessage(
            epoch=state.tenure.epoch,
            entries=state.fleet.size(now),
            report_after=period,
            totals=totals,
            configuration_version=state.version,
            proof_age=min(state.freshness.age(now), MAX_AGE_SECONDS),
            upstreams_age=min(
                now - state.directory.confirmed_at,
                MAX_AGE_SECONDS,
            ),
            true_time=state.true_time.at(now),
            speeds=state.fleet.speeds(),
            needs=state.needs,
            reclaims=state.reclaims,
            given=state.allocate_units(report.key, now),
            resigned=not state.is_home(now),
            configuration=self._configuration(message),
            upstreams=upstreams_part(state.directory, message),
            words=self._words(message, now),
            peers=self._tables.peers.part(link, message),
            origin_keepers=self._tables.origins.part(link),
            shared_host_services=tuple(state.scheduling.shared_host_services),
            upstream_factors=factors,
        )

    def _words(
        self,
        message: ReportMessage,
        now: float,
    ) -> StatementsPart | None:
        table = self._state.words.table
        words = table.changes_since(message.words_version, now)
        return StatementsPart(table.version, words) if words else None

    def _configuration(
        self,
        message: ReportMessage,
    ) -> ConfigurationPart | None:
        version = self._state.version
        if message.configuration_version >= version:
            return None
        return self._configuration_sender.part(
            version,
            self._state.configuration_source,
            self._state.timers.now(),
        )


def _is_lookup(data: bytes) -> bool:
    """Return whether a message is about copies that any node may keep."""
    message = decode_from_entry(data)
    return isinstance(message, OriginQuestion | OriginsMessage)
