"""Scenarios on the decision objects in virtual time."""
