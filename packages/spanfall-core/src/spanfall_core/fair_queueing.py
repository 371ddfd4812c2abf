"""Share a server among weighted flows by start-time fair queueing.

The server and each flow have a virtual time. The flow with the lowest one is
served next and advances by the work of its request divided by its weight
(Goyal, Vin and Cheng, 1996). While two flows have requests waiting, the work
served to each, divided by its weight, differs by at most the largest request
of each, divided by its weight.
"""

from typing import Protocol


class HasVirtualTime(Protocol):
    """Hold the virtual time of a server or of a flow, in work per weight."""

    virtual_time: float


def join_waiting(server: HasVirtualTime, flow: HasVirtualTime) -> None:
    """Let an idle flow wait for service, without credit for its idle time."""
    flow.virtual_time = max(flow.virtual_time, server.virtual_time)


def charge_work(
    server: HasVirtualTime,
    flow: HasVirtualTime,
    work: float,
    weight: float,
) -> None:
    """Charge the work of a request that is served now to its flow."""
    server.virtual_time = max(server.virtual_time, flow.virtual_time)
    flow.virtual_time += work / weight
