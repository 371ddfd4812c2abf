"""Stand in for a platform: its store, cloud API and upstreams, on loopback."""
