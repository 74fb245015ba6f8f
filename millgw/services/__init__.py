"""Several services in one process: a pool for each, shared resource limits, and fair scheduling."""
