"""Hold and write the record of the home as the store holds it."""

import msgspec

from spanfall_node.gateway.links.succession_messages import HomeRecord


class HomeContent(msgspec.Struct, frozen=True):
    """Hold the record; its revision, on its timeline, is the epoch."""

    node: str
    address: str
    incarnation: str
    #: Timeline of the store on which it was written.
    timeline: int = 0


def make_home_record(content: HomeContent, epoch: int) -> HomeRecord:
    """Return the home that a record of an epoch names."""
    return HomeRecord(
        content.node,
        content.address,
        content.incarnation,
        epoch,
    )


def encode_home(content: HomeContent) -> bytes:
    """Return the record of a home."""
    return msgspec.json.encode(content)
