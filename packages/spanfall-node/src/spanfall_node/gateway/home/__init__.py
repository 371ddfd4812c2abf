"""Elect the home of the fleet, serve as the home and follow it."""
