"""Decide where a request goes, and what follows a failed send."""
