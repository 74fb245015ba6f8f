"""Hot restart: a new process starts beside the running one, receives its state and takes over."""
