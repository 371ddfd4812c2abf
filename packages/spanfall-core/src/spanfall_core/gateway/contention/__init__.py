"""Decide who is served, held or rejected while upstreams lack room."""
