"""The server side for callers: accepted connections, request parsing and checks, answer encoding."""
