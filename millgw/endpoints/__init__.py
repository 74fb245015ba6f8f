"""The endpoints' side: connections that go out, attempts on them, and the truth of their outcomes."""
