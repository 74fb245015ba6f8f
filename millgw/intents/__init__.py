"""What must be durable before an unsafe call may run, so that a restart never sends it again."""
