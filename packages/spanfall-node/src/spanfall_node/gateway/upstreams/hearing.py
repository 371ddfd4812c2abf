"""Take what an upstream says of itself in any answer, however that ends."""

import logging

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.statements import (
    KnownStatements,
    StatementChange,
)

from spanfall_node.gateway.net.client import AnswerHead
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: The status with which another lifetime answers at the address: what it says
#: of itself is not said of the one that was asked.
OTHER_LIFETIME = 421


def hear(
    state: GatewayState,
    lifetime: Lifetime,
    head: AnswerHead,
    sent_at: float,
) -> None:
    """Take what the head of an answer says; log and count what is new.

    ``sent_at`` is when the request was sent over that connection.
    """
    if head.status == OTHER_LIFETIME:
        return
    said = state.platform.read_statement(head.status, head.headers)
    news = state.words.hear(
        lifetime,
        said,
        sent_at,
        state.timers.now(),
        is_signed=bool(head.header(state.platform.names.signature)),
    )
    if StatementChange.LEAVES in news:
        state.directory.apply_statements((lifetime,))
    if said.backoff:
        news.append(StatementChange.BACK_OFF)
    for one in news:
        state.counters.statements.labels(one.value).inc()
    if news:
        logger.info(
            'Upstream %s says: %s; %s requests a second, back-off %s s',
            lifetime,
            ', '.join(news),
            said.rate,
            said.backoff,
        )


def learn_words(state: GatewayState, words: KnownStatements) -> None:
    """Take what another node knows of upstreams."""
    news = state.words.learn(words, state.timers.now())
    state.directory.apply_statements(news)
