"""The product's laboratory: small machines of the daemon, explored over their own code."""
