"""The callers' side: connections that come in, what their requests must be like, the answers' wording."""
