"""Try suspect requests alone: at most one trial per service at a time."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.identity import RequestIdentity

#: Seconds after which a trial is over if its end was not reported.
MAX_TRIAL_SECONDS = 1.5
#: Seconds from the first part of an answer to the end of a trial: a request
#: that crashes its upstream does so before any part of the answer.
TRIAL_SETTLE_SECONDS = 0.2


@dataclass(slots=True)
class Trial:
    """Hold the running trial of a service."""

    identity: RequestIdentity
    until: float


@dataclass(slots=True)
class Trials:
    """Hold the running trials, at most one per service."""

    _running: dict[str, Trial] = field(default_factory=dict)

    def try_begin(
        self,
        service: str,
        identity: RequestIdentity,
        now: float,
    ) -> bool:
        """Begin the trial of a suspect unless another trial is running."""
        running = self._running.get(service)
        if running is not None and now < running.until:
            return False
        self._running[service] = Trial(identity, now + MAX_TRIAL_SECONDS)
        return True

    def end(self, identity: RequestIdentity, until: float) -> None:
        """End the running trial of a request, if any, by ``until``."""
        for trial in self._running.values():
            if trial.identity == identity:
                trial.until = min(trial.until, until)
