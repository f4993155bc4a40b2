"""Decisions of a daemon, without input or output."""
