"""Decode the records that the nodes of a fleet write to the store."""

import logging
from typing import TypeVar

import msgspec

from spanfall_node.gateway.net.ports import StoredItem

logger = logging.getLogger(__name__)

Record = TypeVar('Record')


def decode_record(item: StoredItem, kind: type[Record]) -> Record | None:
    """Decode the record in an item; return None if it is invalid."""
    try:
        return msgspec.json.decode(item.content, type=kind)
    except (ValueError, RecursionError):
        logger.exception(
            'Invalid record %s in the store; ignoring it', item.key
        )
        return None
