"""One pool: a decision module in service, with its endpoints, connections and bounds."""
