"""What the platform tells and gives a sidecar: configuration, descriptors, the list of endpoints."""
