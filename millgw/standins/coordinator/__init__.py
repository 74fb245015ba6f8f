"""A stand-in coordinator: ZooKeeper's protocol over one tree on loopback, that fails as it is told to."""
