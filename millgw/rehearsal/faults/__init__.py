"""Injects the faults of a day into its stand-ins and sidecars."""
