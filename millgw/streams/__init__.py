"""Long bodies and answers, passed on as they come, with back-pressure. No I/O, no clock."""
