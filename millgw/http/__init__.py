"""HTTP/1.1 requests, answers and socket helpers shared by callers, endpoints and the admin server."""
