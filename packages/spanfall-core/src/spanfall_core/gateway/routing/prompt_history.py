"""Hold what the choice of an upstream knows about earlier prompts."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.listed import ListedUpstream, ring_position
from spanfall_core.gateway.known.prefix_heat import PrefixHeat
from spanfall_core.gateway.known.prefixes import PrefixIndex
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.shortlist import Shortlist
from spanfall_core.gateway.routing.sizes import PromptSizes


@dataclass(slots=True)
class PromptHistory:
    """Hold which upstream has read which prompts, and the prompts' lengths."""

    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    sizes: PromptSizes = field(default_factory=PromptSizes)
    #: Prefill speed of the engines of each service, as measured by the home.
    speeds: dict[str, PrefillSpeed] = field(default_factory=dict)
    #: Heat of shared prompt parts, of each service for which it counts.
    heats: dict[str, PrefixHeat] = field(default_factory=dict)
    _shortlists: dict[str, Shortlist[ListedUpstream]] = field(
        default_factory=dict,
    )

    def record_prompt(self, request: RoutingRequest, now: float) -> None:
        """Count the length of a prompt that is about to be read."""
        if request.prompt_tokens:
            self.sizes.record_prompt(request.prompt_tokens, now)

    def speed(self, service: str) -> PrefillSpeed:
        """Return the prefill speed of a service, or a default if unmeasured."""
        return self.speeds.get(service, PrefillSpeed())

    def shortlist(
        self,
        rows: Sequence[ListedUpstream],
    ) -> Shortlist[ListedUpstream]:
        """Return the shortlist of these upstreams, new if they have changed."""
        service = rows[0].service
        known = self._shortlists.get(service)
        if known is None or known.rows is not rows:
            digests = [ring_position(row) for row in rows]
            indices = {row.lifetime: at for at, row in enumerate(rows)}
            known = Shortlist(rows, digests, indices)
            self._shortlists[service] = known
        return known

    def track_heat(self, service: str, *, is_on: bool) -> PrefixHeat | None:
        """Return the heat of the parts of a service, if it is to be tracked."""
        if is_on:
            return self.heats.setdefault(service, PrefixHeat())
        self.heats.pop(service, None)
        return None
