"""The operator's own file: what it may say, and what it means. Read only where the daemon is given one."""
