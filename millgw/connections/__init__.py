"""Connections to endpoints, tended: how many, which first, opened when, given up when. Off unless asked for.

`terms`, `lifetime`, `opening`, `standing`, `need` and `keeper` decide, with no I/O and no clock; `counts` is
what happened; `tended` carries it out for one pool's upstream.
"""
