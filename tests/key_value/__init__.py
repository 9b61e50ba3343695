"""Tests of the package key_value."""
