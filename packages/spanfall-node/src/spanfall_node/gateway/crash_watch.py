"""Find out at an entry whether an upstream ended under a request.

A connection that breaks may have been reset or garbled by an upstream that
lives. One whose process has ended refuses new connections.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.directory import ListedUpstream
from spanfall_core.gateway.identity import RequestIdentity

from spanfall_node.gateway.client import connect
from spanfall_node.gateway.crash_messages import (
    CrashReport,
    RunStage,
    WatchedRun,
)
from spanfall_node.gateway.errors import NobodyListensError, NotSentError
from spanfall_node.gateway.questions import Send
from spanfall_node.gateway.state import GatewayState

#: Seconds for the answer of a host that ended a connection a moment ago.
PROBE_SECONDS = 0.1


@dataclass(slots=True)
class CrashWatch:
    """Examine broken sends and tell the home of them."""

    state: GatewayState
    _send: Send | None = field(default=None)

    def connect(self, send: Send) -> None:
        """Tell the home over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """Keep what is found until there is another link."""
        self._send = None

    async def examine(
        self,
        identity: RequestIdentity,
        upstream: ListedUpstream,
    ) -> None:
        """Note the end of an upstream under a request, if it has ended.

        The home knows it before it is asked for another upstream.
        """
        lifetime = upstream.lifetime
        if not await _has_ended(upstream.address):
            await self.note_run(identity, RunStage.OVER)
            return
        now = self.state.timers.now()
        self.state.crashes.note_end(identity, lifetime, now)
        if self._send is not None:
            await self._send(CrashReport({identity: (lifetime,)}))

    async def note_run(
        self,
        identity: RequestIdentity,
        stage: RunStage,
    ) -> None:
        """Tell the home how far a request has come that is watched."""
        run = WatchedRun(identity, stage)
        self.state.crashes.note_run(run, self.state.timers.now())
        if self._send is not None:
            await self._send(run)


async def _has_ended(address: str) -> bool:
    try:
        conn = await connect(address, PROBE_SECONDS)
    except NobodyListensError:
        return True
    except NotSentError:
        # Its host is silent: nothing shows that the process has ended.
        return False
    await conn.close()
    return False
