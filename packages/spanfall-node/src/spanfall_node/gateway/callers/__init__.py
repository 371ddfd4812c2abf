"""Serve the connections of callers."""
