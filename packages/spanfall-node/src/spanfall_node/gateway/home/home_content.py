"""Define and encode the home record in the store."""

import msgspec

from spanfall_node.gateway.links.succession_messages import HomeRecord


class HomeContent(msgspec.Struct, frozen=True):
    """Define the stored record; its revision on its timeline is the epoch."""

    node: str
    address: str
    incarnation: str
    #: Timeline of the store on which the record was written.
    timeline: int = 0


def make_home_record(content: HomeContent, epoch: int) -> HomeRecord:
    """Return the home that a stored record of an epoch names."""
    return HomeRecord(
        content.node,
        content.address,
        content.incarnation,
        epoch,
    )


def encode_home(content: HomeContent) -> bytes:
    """Return the JSON encoding of a home record."""
    return msgspec.json.encode(content)
