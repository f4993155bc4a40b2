"""Composition root of the daemon."""
