"""Read how many connections this host bears."""

import resource

from spanfall_api.gateway_settings import Host
from spanfall_core.gateway.limits.connections import (
    ConnectionLimits,
    connection_limits,
)


def host_limits(host: Host) -> ConnectionLimits:
    """Return the limits of a host on which this process runs."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = host.descriptors
    descriptors = min(host.descriptors, allowed)
    return connection_limits(descriptors, host.memory_bytes)
