"""Tests of the configuration core."""
