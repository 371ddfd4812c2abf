"""Decide which requests are held back because upstreams end under them."""
