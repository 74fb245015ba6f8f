"""Parts of the decision module that have one job each: no I/O, no clock, seeded."""
