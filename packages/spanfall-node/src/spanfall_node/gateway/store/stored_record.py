"""Read the records that the nodes of a fleet leave in the store."""

import logging
from typing import TypeVar

import msgspec

from spanfall_node.gateway.net.ports import StoredItem

logger = logging.getLogger(__name__)

Record = TypeVar('Record')


def decode_record(item: StoredItem, kind: type[Record]) -> Record | None:
    """Return the record that an item holds, or None if it holds none."""
    try:
        return msgspec.json.decode(item.content, type=kind)
    except (ValueError, RecursionError):
        logger.exception('The record %s cannot be read', item.key)
        return None
