"""Claim the home record for this node."""

import logging
from dataclasses import dataclass

from spanfall_core.gateway.known.timelines import timeline_of

from spanfall_node.gateway.home.home_content import (
    HomeContent,
    encode_home,
    make_home_record,
)
from spanfall_node.gateway.links.succession_messages import HomeRecord
from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.store_client import (
    StoreClient,
)
from spanfall_node.gateway.store.store_errors import (
    ConditionFailedError,
)
from spanfall_node.gateway.store.stored_record import decode_record
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import home_key

logger = logging.getLogger(__name__)

#: Store key of a record that every new home writes and that is never removed.
HISTORY_KEY = 'spanfall/history'


@dataclass(frozen=True, slots=True)
class Claim:
    """Describe a home record that this node has just written."""

    home: HomeRecord
    lease: int
    #: When the lease was requested.
    sent_at: float
    #: Whether no node of this fleet has ever been the home before.
    is_first: bool
    #: Whether no node has been the home since the store was restored.
    is_first_since_restore: bool

    @property
    def epoch(self) -> int:
        """Return the epoch that starts with the record."""
        return self.home.epoch

    @property
    def timeline(self) -> int:
        """Return the store timeline on which the record was written."""
        return timeline_of(self.epoch)


async def claim_home(
    state: GatewayState,
    store: StoreClient,
    known_revision: int,
    lease_seconds: float,
) -> Claim | None:
    """Replace the home record of revision ``known_revision`` by this node's.

    ``known_revision`` is 0 if there is no record. Return None if another node
    has changed the record meanwhile.

    Raises:
        StoreError: it is unknown whether the record was written.
    """
    timeline = store.timeline
    history = await store.get(HISTORY_KEY)
    last = decode_record(history, HomeContent) if history else None
    sent_at = state.timers.now()
    lease = await store.grant(timeline, lease_seconds)
    cfg = state.cfg
    content = HomeContent(
        cfg.node,
        cfg.listen.links,
        state.incarnation,
        timeline,
    )
    record = encode_home(content)
    key = home_key(timeline)
    try:
        epoch = await store.transact(
            timeline,
            {
                key: known_revision,
                HISTORY_KEY: history.revision if history else 0,
            },
            (Write(key, record, lease), Write(HISTORY_KEY, record)),
            _superseded_keys(last, timeline),
        )
    except ConditionFailedError:
        logger.info('Another node claimed the home record first')
        return None
    is_restored = _is_earlier_timeline(last, timeline, store)
    return Claim(
        make_home_record(content, epoch),
        lease,
        sent_at,
        is_first=history is None and not is_restored,
        is_first_since_restore=is_restored,
    )


def _superseded_keys(
    last: HomeContent | None, timeline: int
) -> tuple[str, ...]:
    """Return the home keys of earlier timelines that must hold no record.

    Writes that an earlier home sent under the condition of such a record may
    arrive late and must fail.
    """
    if last is None or last.timeline == timeline:
        return ()
    return (home_key(last.timeline),)


def _is_earlier_timeline(
    last: HomeContent | None,
    timeline: int,
    store: StoreClient,
) -> bool:
    """Tell whether the last home was elected on an earlier timeline."""
    if last is None:
        return store.was_restored
    return last.timeline != timeline
