"""Tests with real processes, for failures that only processes can have."""
