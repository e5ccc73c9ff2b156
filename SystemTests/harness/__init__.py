"""Parts of the system tests' harness: processes, relays, callers, items."""
