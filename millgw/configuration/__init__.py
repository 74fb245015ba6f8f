"""Distribution of configuration: versions that control instances replicate and sidecars apply."""
