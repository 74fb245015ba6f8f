"""Pool membership from ephemeral nodes in a ZooKeeper-style coordinator."""
