"""Sidecars with one planted fault each, which the auditor must find."""
