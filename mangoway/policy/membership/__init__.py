"""Decisions about which hosts are live, leaving or gone."""
