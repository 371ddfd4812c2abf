"""Tell the home what upstreams say of themselves, as it is heard."""

from websockets.asyncio.client import ClientConnection

from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.links.word_messages import WordsReport
from spanfall_node.gateway.tables.state import GatewayState


async def tell_words(state: GatewayState, link: ClientConnection) -> None:
    """Tell a home all that is known here, then each new word at once."""
    words = state.words
    now = state.timers.now()
    words.untold = {}
    known = words.table.changes_since(0, now)
    if known:
        await link.send(encode(WordsReport(known)))
    while True:
        heard = words.heard
        if not words.untold:
            await heard.wait()
        untold = words.take_untold(state.timers.now())
        await link.send(encode(WordsReport(untold)))
