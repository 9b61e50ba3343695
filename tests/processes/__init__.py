"""Tests with real processes, for what only processes show."""
