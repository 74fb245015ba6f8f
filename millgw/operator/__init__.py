"""The operator's file: its schema, checks and commands. Loaded only where the daemon is given such a file."""
