"""One pool: a running decision module with its endpoints, connections and resource limits."""
