"""Detects requests that crash their runners, and blocks them."""
