"""Decisions about which configuration version is in force."""
