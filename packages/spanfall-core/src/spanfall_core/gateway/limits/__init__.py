"""Decide who may spend which units of a limit."""
