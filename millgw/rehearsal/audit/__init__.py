"""Audits the ledger of a day against the four rules. No I/O."""
