"""Watch one run of a request for what it shows of the request's traits."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.crashes.sound_parts import SOUND_SECONDS
from spanfall_core.gateway.known.listed import ListedUpstream

from spanfall_node.gateway.links.crash_messages import RunStage, WatchedRun
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_node.gateway.tables.state import GatewayState


@dataclass(slots=True)
class RunWatch:
    """Hold how far a run has come, and tell the home if it watches it."""

    state: GatewayState
    admitted: AdmittedRequest
    upstream: ListedUpstream
    report: Callable[[WatchedRun], Awaitable[None]]
    #: Whether the home is told of each stage.
    is_reported: bool
    #: Whether the home sent it as the trial of a suspect.
    is_trial: bool
    sent_at: float
    #: Time of the first part of the answer; 0 before.
    first_at: float = 0
    is_sound: bool = False

    async def record_part(self, now: float) -> None:
        """Record a part of the answer that was received now."""
        if not self.first_at:
            self.first_at = now
            await self.reach(RunStage.BEGAN)
        elif not self.is_sound and now - self.first_at >= SOUND_SECONDS:
            self.is_sound = True
            self._record_sound(now)
            await self.reach(RunStage.SOUND)

    async def finish(self, *, is_complete: bool) -> None:
        """Record that the run is over and its upstream did not end."""
        if is_complete and self.first_at:
            self.is_sound = True
            self._record_sound(self.state.timers.now())
        await self.reach(
            RunStage.COMPLETE if is_complete else RunStage.INCOMPLETE
        )

    async def reach(self, stage: RunStage) -> None:
        """Tell the home of a stage if it watches the run."""
        if self.is_reported:
            parts = self.admitted.traits[1:] if self.is_sound else ()
            version = self.upstream.software_version
            await self.report(
                WatchedRun(self.admitted.identity, stage, parts, version)
            )

    def broken(self) -> BrokenRun:
        """Return the run as one that broke now.

        Parts that were answered for a while are not suspected: they would have
        crashed the upstream before.
        """
        admitted, version = self.admitted, self.upstream.software_version
        now = self.state.timers.now()
        traits = admitted.traits[:1] if self.is_sound else admitted.traits
        return BrokenRun(
            admitted.identity,
            self.upstream.lifetime,
            traits,
            self.state.crashes.sound_parts.proven(traits[1:], version, now),
            version,
            is_trial=self.is_trial,
            sent_ago=now - self.sent_at,
        )

    def _record_sound(self, now: float) -> None:
        parts = self.admitted.traits[1:]
        version = self.upstream.software_version
        self.state.crashes.record_sound(parts, version, now)
