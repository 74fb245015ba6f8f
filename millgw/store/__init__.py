"""An embedded, crash-safe key-value store: an append-only log, an in-memory index, compaction and recovery.

`record`, `high_water_mark` and `clock` are file formats, and `recovery` evaluates a set of files; these do
no I/O.
`store` accesses the disk through the interface in `files`, which `faulty` implements for tests as a disk that
loses unsynced data. `writer` batches the records of many callers into one sync (group commit), in a thread.
"""
