"""In-memory tables that hold the state of a daemon."""
