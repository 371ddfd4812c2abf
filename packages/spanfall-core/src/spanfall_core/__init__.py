"""Decide for spanfall: pure systems over tables, without I/O or a clock."""
