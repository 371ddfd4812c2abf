"""Define the messages about the home and its succession."""

import msgspec


class HomeRecord(msgspec.Struct, frozen=True):
    """Identify the home of the fleet as recorded in the store."""

    node: str
    address: str
    incarnation: str
    #: Revision of the record, which increases with each change of the home.
    epoch: int = 0


class FarewellMessage(msgspec.Struct, frozen=True, tag='farewell'):
    """Notify a home that another node holds the record.

    A home that is cut off from the store cannot read the record itself.
    """

    home: HomeRecord


class StoreQuestion(msgspec.Struct, frozen=True, tag='store-question'):
    """Ask an entry whether it reaches the store, if the home does not."""

    epoch: int


class StoreReached(msgspec.Struct, frozen=True, tag='store-reached'):
    """Notify the home that an entry reaches the store."""

    epoch: int


class ResignMessage(msgspec.Struct, frozen=True, tag='resign'):
    """Notify an entry that the home of an epoch has resigned.

    Its record may be replaced at once, before its lease has expired.
    """

    epoch: int


class SuccessorMessage(msgspec.Struct, frozen=True, tag='successor'):
    """Notify an entry which node is the home.

    An entry that is cut off from the store cannot read the record itself.
    """

    home: HomeRecord
