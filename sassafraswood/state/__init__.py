"""Tables that hold the state of a daemon."""
