"""Begin this node's tenure as home, or continue it under another record."""

import logging
from dataclasses import replace

from spanfall_core.gateway.known.fleet import ASSUMED_SIZE_SECONDS, FleetState
from spanfall_core.gateway.known.peers import PeerTable
from spanfall_core.gateway.routing.grants import GrantBook
from spanfall_core.gateway.routing.prompt_history import PromptHistory

from spanfall_node.gateway.home.claiming import Claim
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure
from spanfall_node.gateway.upstreams.fleet_backoffs import note_all_backoffs

logger = logging.getLogger(__name__)


def begin_tenure(
    state: GatewayState,
    claim: Claim,
    valid_until: float,
    gives_at: float,
) -> None:
    """Become the home now, and allocate units from ``gives_at`` on."""
    began_at = state.timers.now()
    state.fleet = FleetState(
        state.prompts.speeds,
        assumed_entries=state.quotas.entries,
        assumed_until=began_at + ASSUMED_SIZE_SECONDS,
    )
    state.grant_book = GrantBook()
    state.reach.table = PeerTable()
    state.reach.peers_version = 0
    state.granted_prompts = PromptHistory(speeds=state.prompts.speeds)
    state.words.begin_tenure(max(began_at, gives_at))
    state.contention.begin_tenure()
    state.tenure = Tenure(
        claim.epoch,
        claim.lease,
        valid_until=valid_until,
        renewed_at=claim.sent_at,
        began_at=began_at,
        allocates_from=max(began_at, gives_at),
        is_first=claim.is_first,
    )
    if claim.is_first:
        # No stream is older than the fleet.
        state.directory.versions.known_since = float('-inf')
        state.streams.routes.known_since = float('-inf')
    state.home_resigned = False
    note_all_backoffs(state, began_at)
    _record_own_home(state, claim)


def continue_tenure(
    state: GatewayState, claim: Claim, valid_until: float
) -> None:
    """Continue the tenure without a gap under a record just written."""
    state.tenure = replace(
        state.tenure,
        epoch=claim.epoch,
        lease=claim.lease,
        valid_until=valid_until,
        renewed_at=claim.sent_at,
        is_renewal_failing=False,
    )
    _record_own_home(state, claim)


def _record_own_home(state: GatewayState, claim: Claim) -> None:
    state.update_home(claim.home)
    logger.info('This node is the home, epoch %s', claim.epoch)
