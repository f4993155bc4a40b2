"""Data types without behaviour."""
