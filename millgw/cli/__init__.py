"""What all commands share: the tree, exit codes, kinds of parameters, reports, the tools' log.

`serve` loads none of it.
"""
