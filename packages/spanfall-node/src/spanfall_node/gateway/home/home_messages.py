"""Apply the messages of the home that are about single matters."""

from spanfall_node.gateway.home.request_clients import RequestClients
from spanfall_node.gateway.links.contention_messages import (
    HoldsEndedMessage,
    TurnMessage,
)
from spanfall_node.gateway.links.crash_messages import QuarantineMessage
from spanfall_node.gateway.links.messages import FromHome, GrantMessage
from spanfall_node.gateway.links.origin_messages import (
    OriginAnswer,
    OriginsMessage,
)
from spanfall_node.gateway.links.succession_messages import (
    ResignMessage,
    SuccessorMessage,
)
from spanfall_node.gateway.links.unit_messages import UnitsMessage
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.stream_lookup import merge_origins


def apply_message(
    state: GatewayState, clients: RequestClients, message: FromHome
) -> None:
    """Apply a message that needs no answer.

    Raises:
        ValueError: the message is invalid.
    """
    now = state.timers.now()
    match message:
        case GrantMessage():
            clients.grants.accept_answer(message)
        case TurnMessage():
            state.contention.held.end(message.tickets)
        case HoldsEndedMessage():
            state.contention.lose_home()
        case UnitsMessage():
            clients.units.accept_answer(message)
        case OriginAnswer():
            clients.origins.accept_answer(message)
        case OriginsMessage():
            merge_origins(state, message)
        case ResignMessage():
            state.record_vacant_home(message.epoch)
        case QuarantineMessage():
            state.crashes.apply_announcement(message, now)
        case SuccessorMessage():
            state.follow_home(message.home, now)
