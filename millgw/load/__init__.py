"""The load generator: open loop, latency from the intended time, and its word when it was late.

`arrivals`, `shapes`, `plan`, `traces`, `behind`, `result`, `conditions` and `compare` decide and reckon,
with no I/O; `lines` and `sender` send, each in a process of its own; `run` starts these and gathers what
they saw.
"""
