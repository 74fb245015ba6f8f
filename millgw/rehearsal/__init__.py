"""Rehearsals: a fleet of stand-ins and real sidecars, scripted faults, and an audit of the four rules."""
