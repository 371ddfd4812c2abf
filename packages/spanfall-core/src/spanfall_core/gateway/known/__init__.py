"""Gateway tables: upstreams, configuration, load, prefill speed, limits."""
