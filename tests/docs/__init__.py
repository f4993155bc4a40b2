"""Tests of the pages."""
