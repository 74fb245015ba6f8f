"""Managed connections to endpoints: how many, which is used first, when to open and close. Off by default.

`settings` has the settings. `lifetime`, `handshake_turns`, `reachability`, `demand` and `endpoint_policy`
decide, with no I/O and no clock; `counts` holds the event counters; `manager` carries out the decisions for
the upstream of one pool.
"""
