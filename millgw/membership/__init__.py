"""Membership by ephemeral nodes: the ZooKeeper protocol's records."""
