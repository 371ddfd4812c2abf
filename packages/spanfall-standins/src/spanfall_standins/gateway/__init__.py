"""Simulate a platform on loopback: its store, cloud API and upstreams."""
