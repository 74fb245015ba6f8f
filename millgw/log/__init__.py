"""The log: a table of events, a bound on repeats, two wordings, a writer that never blocks who tells."""
