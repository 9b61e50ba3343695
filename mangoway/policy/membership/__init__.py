"""Decides which processes are live, leaving or gone."""
