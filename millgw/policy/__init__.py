"""Parts of the decision module with a single task each: no I/O, no clock, seeded randomness."""
