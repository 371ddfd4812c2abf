"""Serve callers before the upstreams of a platform; a program of its own."""
