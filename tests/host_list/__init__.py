"""Tests of the host list."""
