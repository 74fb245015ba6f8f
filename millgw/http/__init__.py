"""HTTP/1.1 messages as callers, endpoints and the admin server know them; no I/O of its own."""
