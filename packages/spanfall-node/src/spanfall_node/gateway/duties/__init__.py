"""Do what one node does for the fleet: report usage, order upstreams."""
