"""A fleet of the operators' size on one machine: most sidecars run their control part only ("hollow").

Pure: `layout` places services, sidecars and control machines; `schedule` plans changes and faults; `spread`
and `figures` sum up what was seen; `targets` holds it against the operators' table; `chain` models retries.
With I/O: `metering` counts bytes and parts regions, `hollow`, `real` and `servers` are the processes,
`processes` starts them, `run` plays the schedule, `command` is the command line.
Design: docs/design/scale.md.
"""
