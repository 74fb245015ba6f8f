"""Test doubles for the services around a sidecar: endpoints, the discovery server, callers.

All of them run in one process on loopback addresses and record to one `Ledger` with one clock.
"""
