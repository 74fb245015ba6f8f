"""A stand-in coordinator: ZooKeeper's protocol over one tree on loopback, with faults on command."""
