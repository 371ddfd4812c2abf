"""Decide on routes, upstreams, limits and duties, without I/O or a clock."""
