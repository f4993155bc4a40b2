"""Encoding and validation of messages, records, headers and documents."""
