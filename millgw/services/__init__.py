"""Several services in one process: a pool for each, what each may hold, and whose turn it is."""
