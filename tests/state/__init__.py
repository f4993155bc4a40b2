"""Tests of the tables."""
