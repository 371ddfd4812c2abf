"""Implement spanfall's decisions as pure functions, without I/O or a clock."""
