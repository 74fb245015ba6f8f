"""One machine of the daemon a file: what may happen to it, and what must hold whatever does."""
