"""Encoding and checks of messages, records, headers and documents."""
