"""Run a gateway between callers and upstreams as a separate program."""
