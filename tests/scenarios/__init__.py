"""Scenarios that run the processes on loopback."""
