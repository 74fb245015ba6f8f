"""The door for operators: a few calls over HTTP, answered whatever the loop that serves is busy with."""
