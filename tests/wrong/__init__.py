"""Wrong sidecars, each with one planted fault, which the auditor must find."""
