"""Decide which requests to hold back because they crash upstreams."""
