"""Define the messages that tell which node is the home, and who follows."""

import msgspec


class HomeRecord(msgspec.Struct, frozen=True):
    """Name the home of the fleet as the store holds it."""

    node: str
    address: str
    incarnation: str
    #: Revision of the record: grows with each change of the home.
    epoch: int = 0


class FarewellMessage(msgspec.Struct, frozen=True, tag='farewell'):
    """Tell a home that another holds the record now.

    A home that is cut off from the store could not learn it.
    """

    home: HomeRecord


class StoreQuestion(msgspec.Struct, frozen=True, tag='store-question'):
    """Ask an entry whether it reaches the store, which the home does not."""

    epoch: int


class StoreReached(msgspec.Struct, frozen=True, tag='store-reached'):
    """Tell the home that an entry does reach the store."""

    epoch: int


class ResignMessage(msgspec.Struct, frozen=True, tag='resign'):
    """Tell an entry that the home of an epoch acts no more.

    Its record may be replaced at once, before its lease has ended.
    """

    epoch: int


class SuccessorMessage(msgspec.Struct, frozen=True, tag='successor'):
    """Tell an entry which node is the home now.

    One that is cut off from the store could not learn it.
    """

    home: HomeRecord
