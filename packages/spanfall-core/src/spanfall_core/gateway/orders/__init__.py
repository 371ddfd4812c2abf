"""Decide how many upstreams to order in each data centre."""
