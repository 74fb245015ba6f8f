"""An embedded store for what must survive a crash: a log, an index in memory, compaction and recovery.

`record`, `segment` and `mark` are formats, `recovery` says what a set of files amounts to; these do no I/O.
`store` writes through the seam `files`; `faulty` stands in for a disk that loses what was not synced.
`writer` gathers the records of many callers for one sync, in a thread of its own.
"""
