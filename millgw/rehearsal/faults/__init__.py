"""Faults of a day, injected into its stand-ins and sidecars."""
