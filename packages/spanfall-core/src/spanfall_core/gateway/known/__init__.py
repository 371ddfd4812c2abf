"""Hold what the fleet shows: upstreams, configuration, loads, speeds, spending."""
