"""Read and write the record of the home as the store holds it."""

import logging

import msgspec

logger = logging.getLogger(__name__)


class HomeContent(msgspec.Struct, frozen=True):
    """Hold the record; its revision in the store is the epoch."""

    node: str
    address: str
    incarnation: str


def read_home(source: bytes) -> HomeContent | None:
    """Return the home that a record names, or None if it names none."""
    try:
        return msgspec.json.decode(source, type=HomeContent)
    except (ValueError, RecursionError) as exc:
        logger.warning('The record of the home cannot be read: %r', exc)
        return None


def write_home(node: str, address: str, incarnation: str) -> bytes:
    """Return the record of a home."""
    return msgspec.json.encode(HomeContent(node, address, incarnation))
