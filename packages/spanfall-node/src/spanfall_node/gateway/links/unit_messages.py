"""Define the messages about units of limits that an entry lacks."""

import msgspec


class UnitsRequest(msgspec.Struct, frozen=True, tag='units-request'):
    """Ask the home for units of a workspace that an entry lacks."""

    entry: str
    number: int
    workspace: str
    units: float


class UnitsMessage(msgspec.Struct, frozen=True, tag='units'):
    """Grant an entry units of a workspace in addition to its table's."""

    number: int
    workspace: str
    #: 0 if the home has none available.
    units: float = 0
