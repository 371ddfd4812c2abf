"""Read and admit callers' requests, independently of any upstream."""
