"""Allocate the units of workspace limits and the permits of upstreams."""
