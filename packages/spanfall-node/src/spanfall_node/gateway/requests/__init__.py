"""Read and admit what callers send; no upstream is known here."""
