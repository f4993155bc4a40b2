"""Simulated services, load tools and experiments."""
