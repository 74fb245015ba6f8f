"""Rehearsals: fault-injection runs of real sidecars against simulated endpoints, with an audit of four rules.

One run of a scenario is called a day; the process that plays it is the rig.
"""
