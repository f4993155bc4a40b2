"""Tests of the transports."""
