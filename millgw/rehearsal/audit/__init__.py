"""The auditor: judges a day's ledger by the four rules. Pure."""
