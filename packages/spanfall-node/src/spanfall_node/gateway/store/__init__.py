"""Access the platform's store: calls, listings and records of the home."""
