"""Name the components that ask the home about single requests."""

from typing import NamedTuple

from spanfall_node.gateway.limits.unit_requests import UnitClient
from spanfall_node.gateway.upstreams.crash_watch import CrashDetector
from spanfall_node.gateway.upstreams.grants import GrantClient
from spanfall_node.gateway.upstreams.stream_lookup import OriginClient


class RequestClients(NamedTuple):
    """Hold the components that ask the home about single requests."""

    grants: GrantClient
    units: UnitClient
    watch: CrashDetector
    origins: OriginClient
