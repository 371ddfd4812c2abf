"""Divide the descriptors and the memory of a host among its connections."""

from dataclasses import dataclass

#: Descriptors for files, the store, duties and links to other nodes.
RESERVED_DESCRIPTORS = 200
#: Fraction of the other descriptors for connections of callers. Each may need
#: another one to an upstream; what remains is for links of nodes and tunnels.
CALLERS_PART = 5 / 16
#: The same for tunnels, of which each has two ends.
TUNNELS_PART = 1 / 16
#: Maximum number of tunnels on any host.
MAX_TUNNELS = 256
#: Fraction of the memory for connections of callers, without bodies.
MEMORY_PART = 0.25
#: Bytes of memory of one such connection: its objects, the head that it sends
#: and what it may hold without asking.
CONNECTION_BYTES = 32_768
#: Maximum number of connections for health checks, and for metrics.
STATUS_CONNECTIONS = 64
#: Maximum number of connections beyond a limit that have sent nothing yet.
MAX_SILENT = 32
#: Connections of callers that a node takes on any host.
MIN_CALLERS = 16


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Hold how many connections a node accepts at once, by kind."""

    callers: int
    tunnels: int
    status: int = STATUS_CONNECTIONS


def connection_limits(
    descriptors: int, memory_bytes: float
) -> ConnectionLimits:
    """Return the limits of a host with some descriptors and memory."""
    free = max(0, descriptors - RESERVED_DESCRIPTORS)
    by_memory = memory_bytes * MEMORY_PART / CONNECTION_BYTES
    callers = int(min(free * CALLERS_PART, by_memory))
    return ConnectionLimits(
        callers=max(MIN_CALLERS, callers),
        tunnels=min(MAX_TUNNELS, int(free * TUNNELS_PART)),
    )
