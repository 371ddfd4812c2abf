"""Decide for a gateway: routes, upstreams, limits, duties; no I/O, no clock."""
