"""Managed connections to endpoints: how many, which is used first, when to open and close. Off by default.

`terms` has the settings. `lifetime`, `opening`, `standing`, `need` and `keeper` decide, with no I/O and no
clock; `counts` holds the event counters; `tended` carries out the decisions for the upstream of one pool.
"""
