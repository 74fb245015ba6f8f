"""What the platform provides to a sidecar: configuration, descriptors and the endpoint list."""
