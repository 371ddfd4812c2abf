"""Accept callers' connections and serve their requests."""
