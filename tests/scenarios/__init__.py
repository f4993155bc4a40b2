"""Scenarios that run the daemons and upstreams as processes on loopback."""
