"""The sidecar process: sockets, clock and timers around the `Balancer` decision module."""
