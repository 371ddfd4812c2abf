"""Apply the tables that the home sends."""

import logging

from spanfall_core.gateway.known.directory import DirectoryChange
from spanfall_core.gateway.known.reporting import REPORT_PERIOD
from spanfall_core.gateway.known.timelines import timeline_of

from spanfall_node.gateway.home.totals import (
    apply_entry_count,
    apply_totals,
    totals_period,
)
from spanfall_node.gateway.links.messages import (
    TableMessage,
    UpstreamsPart,
)
from spanfall_node.gateway.links.passing_on import unpack
from spanfall_node.gateway.store.sync import Sync
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.hearing import merge_statements

logger = logging.getLogger(__name__)


class FollowedTable:
    """Apply the tables received on one link to the home."""

    def __init__(self, state: GatewayState, sync: Sync) -> None:
        """Use the state of the node and its sync."""
        self._state = state
        self._sync = sync
        self._totals_received_at = float('-inf')
        #: Seconds until the next report, as set by the home.
        self.report_after = REPORT_PERIOD
        #: Version of the home's upstream statements that was received last.
        self.words_version = 0
        #: Version of the home's peers that was received last.
        self.peers_version = 0

    def apply(self, table: TableMessage, sent_at: float) -> None:
        """Apply a table that answers a report sent at ``sent_at``."""
        state = self._state
        now = state.timers.now()
        state.home_answered_at = now
        state.home_resigned = table.resigned
        apply_entry_count(
            state, table.entries, sent_at, is_current=not table.resigned
        )
        self.report_after = table.report_after
        state.set_prefill_speeds(table.speeds)
        state.needs = table.needs
        state.reclaims = dict(table.reclaims)
        if table.configuration is not None:
            self._sync.configuration.apply_reported(
                unpack(table.configuration),
                sent_at - table.proof_age,
            )
        elif table.configuration_version == state.version:
            state.freshness.mark_confirmed(sent_at - table.proof_age)
        listed_at = sent_at - table.upstreams_age
        self._sync.record_answer_to_home(
            timeline_of(table.epoch),
            max(listed_at, sent_at - table.proof_age),
        )
        if table.upstreams is None:
            state.directory.mark_confirmed(listed_at)
        else:
            self._learn_upstreams(table.upstreams, listed_at)
        if state.true_time.correct(table.true_time, now):
            logger.warning('Corrected the time of day to that of the home')
        if table.words is not None:
            merge_statements(state, table.words.words)
            self.words_version = table.words.version
        if table.peers is not None:
            state.reach.peers = table.peers.peers
            self.peers_version = table.peers.version
        if table.origin_keepers is not None:
            state.streams.keepers = table.origin_keepers
        state.scheduling.add_shared_host_services(table.shared_host_services)
        if table.totals is not None:
            self._totals_received_at = now
            apply_totals(state, table.totals, now)
            state.upstream_speeds.apply_reported(table.upstream_factors, now)

    def wants_totals(self, now: float) -> bool:
        """Tell whether the totals of the other entries are outdated."""
        return now - self._totals_received_at >= totals_period(
            self._state.quotas.entries,
        )

    def _learn_upstreams(
        self,
        part: UpstreamsPart,
        listed_at: float,
    ) -> None:
        rows = list(part.rows)
        if part.is_change:
            change = DirectoryChange(part.rows, part.removed)
            rows = self._state.directory.with_change(change)
        self._sync.apply_listing(part.revision, rows, listed_at)
        if part.is_change:
            self._state.directory.check_digest(part.digest)
