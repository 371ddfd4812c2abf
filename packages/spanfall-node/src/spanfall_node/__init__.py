"""Run a node of spanfall: adapters around the decisions of the core."""
