"""Check whether a node reaches upstreams at all before it judges one."""

import random

from spanfall_node.gateway.net.errors import NotSentError
from spanfall_node.gateway.net.pool import Dial
from spanfall_node.gateway.tables.state import GatewayState

#: Other upstreams to connect to in turn, and the timeout of each in seconds.
MAX_CHECKED = 3
TIMEOUT_SECONDS = 0.1


async def reaches_another(
    state: GatewayState, dial: Dial, address: str
) -> bool:
    """Return whether a failed connection to an address may be believed.

    It may if this node reaches another listed upstream right now, or if there
    is none.
    """
    others = list(state.directory.address_counts)
    if address in others:
        others.remove(address)
    if not others:
        return True
    for other in random.sample(others, min(MAX_CHECKED, len(others))):
        try:
            conn = await dial(other, TIMEOUT_SECONDS)
        except NotSentError:
            continue
        await conn.close()
        return True
    return False
