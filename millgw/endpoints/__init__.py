"""Outgoing connections to endpoints, the attempts sent on them, and the outcome of each attempt."""
