"""Adapters for the header names, formats and APIs of the users' platform.

They convert to and from the types of the product and contain no decisions.
"""
