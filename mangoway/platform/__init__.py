"""Adapter for the platform: its names, formats and calls, without any policy."""
