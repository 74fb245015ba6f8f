"""Stand-ins for what stands round a sidecar: endpoints, the discovery server, callers.

All of them run in one process on loopback addresses and keep one `Ledger` on one clock.
"""
