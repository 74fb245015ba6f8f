"""Streaming of long bodies and answers, with back-pressure. No I/O, no clock."""
