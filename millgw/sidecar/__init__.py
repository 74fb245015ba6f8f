"""The real sidecar: sockets, clock and timers round the one `Balancer`."""
