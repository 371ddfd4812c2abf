"""Define the messages about requests that wait for their turn at the home."""

import msgspec
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.reasons import RefusalReason


class HeldTicket(msgspec.Struct, frozen=True):
    """Identify a held request at one home."""

    service: str
    identity: RequestIdentity
    #: Number of the ticket among those of the service.
    number: int


class HeldTurn(msgspec.Struct, frozen=True):
    """Tell an entry that a request is held."""

    ticket: HeldTicket
    #: Seconds after which the entry asks again by itself.
    seconds: float


class Rejection(msgspec.Struct, frozen=True):
    """Tell an entry that a request cannot be served in time."""

    retry_after: float
    reason: RefusalReason


class TurnMessage(msgspec.Struct, frozen=True, tag='turn'):
    """Tell an entry which of its held requests are to ask again now."""

    tickets: tuple[HeldTicket, ...]


class HoldsEndedMessage(msgspec.Struct, frozen=True, tag='holds-ended'):
    """Tell an entry that the home resigns and holds no requests any more.

    Those of the entry are to ask the next home.
    """


class WithdrawMessage(msgspec.Struct, frozen=True, tag='withdraw'):
    """Tell the home which held requests are no longer to be sent."""

    entry: str
    tickets: tuple[HeldTicket, ...]
