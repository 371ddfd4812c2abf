"""Decide how many upstreams are ordered, and where."""
