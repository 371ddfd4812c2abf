"""Combine the loads of upstreams with the speed of each of them."""

from dataclasses import dataclass

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.upstream_speeds import UpstreamSpeeds
from spanfall_core.gateway.routing.estimates import UpstreamLoads


@dataclass(frozen=True, slots=True)
class UnevenLoads:
    """Provide loads for a choice among upstreams that differ in speed."""

    loads: UpstreamLoads
    speeds: UpstreamSpeeds

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests that run at an upstream, fleet-wide."""
        return self.loads.running_at(lifetime)

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the prompt tokens that an upstream has still to read."""
        return self.loads.prefill_at(lifetime)

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the recent failures of an upstream."""
        return self.loads.failures_at(lifetime, now)

    def factor_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the duration of work there, relative to the usual."""
        return self.speeds.factor(lifetime, now)
