"""Estimate the prompt tokens that an upstream has to read for a request."""

from spanfall_core.gateway.routing.estimates import RoutingRequest

#: Fraction of a prompt's shared tokens that the upstream preferred by the hash
#: is expected to have cached for other entries.
EXPECTED_CACHED_FRACTION = 0.7


def expected_prefill(
    request: RoutingRequest, cached: int, *, is_preferred: bool
) -> int:
    """Return the prompt tokens that an upstream is expected to read.

    ``cached`` is the number of leading tokens that it is known to hold.
    """
    if is_preferred:
        cached = max(cached, _expected_cached(request))
    return max(0, request.prompt_tokens - cached)


def _expected_cached(request: RoutingRequest) -> int:
    """Return the tokens likely cached there for other requests."""
    shared = sum(part.tokens for part in request.parts[:-1])
    return int(shared * EXPECTED_CACHED_FRACTION)
