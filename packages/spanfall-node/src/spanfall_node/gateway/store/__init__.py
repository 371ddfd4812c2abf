"""Read and write the platform's store: calls, lists, records of the home."""
