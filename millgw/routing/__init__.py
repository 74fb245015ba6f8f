"""Which service a request is for: its target made plain, and the table of routes. Pure."""
