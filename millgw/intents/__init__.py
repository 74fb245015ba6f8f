"""Durable marks of unsafe calls, written before a call may run, so that a restart never sends it again."""
