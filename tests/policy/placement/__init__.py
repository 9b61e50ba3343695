"""Tests of the placement core."""
