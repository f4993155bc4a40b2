"""Tests of the deployment."""
