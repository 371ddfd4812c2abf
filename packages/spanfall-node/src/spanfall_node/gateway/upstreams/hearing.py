"""Record an upstream's statements about itself from any response head."""

import logging

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.stated_loads import InvalidLoad
from spanfall_core.gateway.known.statements import (
    KnownStatements,
    StatementChange,
)

from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.fleet_backoffs import note_backoff
from spanfall_node.gateway.upstreams.speeds import record_slowdown

logger = logging.getLogger(__name__)

#: Status with which another lifetime responds at the address; its statements do
#: not apply to the lifetime that the request was sent to.
OTHER_LIFETIME_STATUS = 421


def record_statement(
    state: GatewayState,
    lifetime: Lifetime,
    head: ResponseHead,
    sent_at: float,
) -> None:
    """Record the statement in a response head; log and count changes.

    The statement counts however the response ends. ``sent_at`` is when the
    request was sent over that connection.
    """
    if head.status == OTHER_LIFETIME_STATUS:
        return
    _record_load(state, lifetime, head)
    statement = state.platform.read_statement(head.status, head.headers)
    changes = state.words.record(
        lifetime,
        statement,
        sent_at,
        state.timers.now(),
        is_signed=bool(head.header(state.platform.names.signature)),
    )
    if StatementChange.LEAVES in changes:
        state.directory.apply_statements((lifetime,))
    if statement.backoff:
        changes.append(StatementChange.BACK_OFF)
        note_backoff(state, lifetime, state.timers.now())
    for one in changes:
        state.counters.statements.labels(one.value).inc()
    if changes:
        logger.info(
            'Upstream %s stated: %s; limit %s requests/s, back-off %s s',
            lifetime,
            ', '.join(changes),
            statement.rate,
            statement.backoff,
        )


def _record_load(
    state: GatewayState, lifetime: Lifetime, head: ResponseHead
) -> None:
    """Record the load in a response head, if it states one."""
    load = state.platform.read_load(head.headers)
    if load is None:
        return
    if isinstance(load, InvalidLoad):
        state.counters.invalid_loads.inc()
        logger.info(
            'Upstream %s stated an invalid load: %r', lifetime, load.text
        )
        return
    if load.slowdown is not None:
        row = state.directory.rows.get(lifetime)
        if row is not None:
            state.scheduling.add_shared_host_services((row.service,))
            record_slowdown(state, row, load.slowdown)


def merge_statements(state: GatewayState, statements: KnownStatements) -> None:
    """Merge the upstream statements that another node has recorded."""
    changes = state.words.merge(statements, state.timers.now())
    state.directory.apply_statements(changes)
