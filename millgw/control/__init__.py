"""Control server for operators: a few HTTP calls, answered even while the event loop is busy."""
