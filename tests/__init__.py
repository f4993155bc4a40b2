"""Tests of sassafraswood."""
