"""Enforces the request rate limits that runners report."""
